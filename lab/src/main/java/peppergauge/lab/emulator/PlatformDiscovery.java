package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.lab.scenario.Discovery;
import peppergauge.lab.scenario.Scenario;
import peppergauge.request.EndpointUpdate;

/** Discovery by the platform's watch, or a perfect watch that is never late, unreachable or wrong. */
final class PlatformDiscovery implements DiscoveryModel {

    /** Idle time after which a sidecar considers its watch lost. */
    private static final double SILENCE_MS = 3_500;

    private final EmulationContext context;
    private final UniformRandomProvider random;
    private final boolean perfect;
    private final double noticeMs;
    private final double spreadMs;
    private final double silentMs;
    private final Map<String, EndpointUpdate.EndpointAddress> endpoints = new LinkedHashMap<>();
    private final long[] deliveredUntil;
    /** Queue of the calls that open watches; null if discovery answers any number of calls immediately. */
    private final DiscoveryCallQueue calls;

    private long version = 1;
    private double lateMs;
    private int down;
    private int empty;

    PlatformDiscovery(EmulationContext context) {
        Discovery discoverySettings = context.scenario.discovery();
        this.context = context;
        random = context.streams.of("discovery");
        perfect = discoverySettings.source() == Discovery.Source.PERFECT;
        noticeMs = perfect ? 0 : Scenario.toMillis(discoverySettings.notice());
        spreadMs = perfect ? 0 : Scenario.toMillis(discoverySettings.spread());
        silentMs = perfect ? 0 : Scenario.toMillis(discoverySettings.silentNotice());
        calls = perfect || discoverySettings.calls() == 0 ? null : new DiscoveryCallQueue(context, this::deliverAll);
        deliveredUntil = new long[(int) context.scenario.sidecars().count()];
    }

    /** Queue of the calls that open watches; null if discovery answers any number of calls immediately. */
    DiscoveryCallQueue calls() {
        return calls;
    }

    @Override
    public void open() {
        context.fleet.all().forEach(server -> endpoints.put(server.id(), address(server)));
        context.sidecars.forEach(sidecar -> sidecar.setInitialEndpoints(List.copyOf(endpoints.values())));
    }

    static EndpointUpdate.EndpointAddress address(BackendServer server) {
        EndpointState state = server.up() ? server.state() : EndpointState.REMOVED;
        return new EndpointUpdate.EndpointAddress(
                new Endpoint(
                        server.id(),
                        server.zone(),
                        server.cell(),
                        state,
                        server.startedMs(),
                        server.serverGroupNumber()),
                server.address());
    }

    @Override
    public void onServerChanged(BackendServer server, boolean silently) {
        double noticedMs = silently ? silentMs : noticeMs * (0.5 + random.nextDouble());
        context.time.after(noticedMs + lateMs, () -> {
            EndpointUpdate.EndpointAddress address = address(server);
            EndpointUpdate.EndpointAddress before = address.endpoint().state() == EndpointState.REMOVED
                    ? endpoints.remove(server.id())
                    : endpoints.put(server.id(), address);
            if (!address.equals(before) && (before != null || address.endpoint().state() != EndpointState.REMOVED)) {
                version++;
                context.sidecars.forEach(sidecar -> deliver(sidecar, false, List.of(address)));
            }
        });
    }

    private void deliver(EmulatedSidecar sidecar, boolean complete, List<EndpointUpdate.EndpointAddress> addresses) {
        long at = Math.max(
                deliveredUntil[sidecar.index()],
                context.time.now() + VirtualTime.ticks(spreadMs * random.nextDouble()));
        deliveredUntil[sidecar.index()] = at;
        long sentVersion = version;
        context.time.at(at, () -> {
            // Updates lost during a fault are covered by the complete list after it.
            if (sidecar.up() && down == 0 && empty == 0 && (calls == null || calls.isWatching(sidecar))) {
                sidecar.onEndpointUpdate(new EndpointUpdate(sentVersion, complete, addresses));
            }
        });
    }

    private void deliverAll(EmulatedSidecar sidecar) {
        deliver(sidecar, true, new ArrayList<>(endpoints.values()));
    }

    @Override
    public void resumeWatch(EmulatedSidecar sidecar) {
        if (calls == null) {
            deliverAll(sidecar);
        } else {
            calls.start(sidecar);
        }
    }

    @Override
    public void startOutage(double ms) {
        if (perfect) {
            return;
        }
        down++;
        if (calls != null) {
            calls.startOutage(ms);
        }
        context.time.after(SILENCE_MS, () -> {
            if (down > 0) {
                context.sidecars.stream().filter(EmulatedSidecar::up).forEach(EmulatedSidecar::onWatchLost);
            }
        });
        context.time.after(ms, () -> {
            down--;
            if (calls == null) {
                context.sidecars.forEach(this::deliverAll);
            }
        });
    }

    @Override
    public void startEmptyList(double ms) {
        if (perfect) {
            return;
        }
        if (down == 0) {
            version++;
            context.sidecars.stream()
                    .filter(EmulatedSidecar::up)
                    .forEach(sidecar -> sidecar.onEndpointUpdate(new EndpointUpdate(version, true, List.of())));
        }
        empty++;
        context.time.after(ms, () -> {
            empty--;
            version++;
            context.sidecars.forEach(this::deliverAll);
        });
    }

    @Override
    public void delayUpdates(double addedMs, double ms) {
        if (perfect) {
            return;
        }
        lateMs += addedMs;
        context.time.after(ms, () -> lateMs -= addedMs);
    }
}
