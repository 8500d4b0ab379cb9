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

    private final World world;
    private final UniformRandomProvider luck;
    private final boolean perfect;
    private final double noticeMs;
    private final double spreadMs;
    private final double silentMs;
    private final Map<String, EndpointUpdate.EndpointAddress> list = new LinkedHashMap<>();
    private final long[] deliveredUntil;
    /** Queue of the calls that open watches; null if discovery answers any number of calls immediately. */
    private final SharedCalls calls;

    private long version = 1;
    private double lateMs;
    private int down;
    private int empty;

    PlatformDiscovery(World world) {
        Discovery figures = world.scenario.discovery();
        this.world = world;
        luck = world.streams.of("discovery");
        perfect = figures.source() == Discovery.Source.PERFECT;
        noticeMs = perfect ? 0 : Scenario.ms(figures.notice());
        spreadMs = perfect ? 0 : Scenario.ms(figures.spread());
        silentMs = perfect ? 0 : Scenario.ms(figures.silentNotice());
        calls = perfect || figures.calls() == 0 ? null : new SharedCalls(world, this::deliverAll);
        deliveredUntil = new long[(int) world.scenario.sidecars().count()];
    }

    /** Queue of the calls that open watches; null if discovery answers any number of calls immediately. */
    SharedCalls calls() {
        return calls;
    }

    @Override
    public void open() {
        world.fleet.all().forEach(server -> list.put(server.id(), row(server)));
        world.sidecars.forEach(sidecar -> sidecar.knows(List.copyOf(list.values())));
    }

    static EndpointUpdate.EndpointAddress row(BackendServer server) {
        EndpointState state = server.up() ? server.state() : EndpointState.REMOVED;
        return new EndpointUpdate.EndpointAddress(
                new Endpoint(server.id(), server.zone(), server.cell(), state, server.startedMs(), server.kindNumber()),
                server.address());
    }

    @Override
    public void changed(BackendServer server, boolean silently) {
        double noticedMs = silently ? silentMs : noticeMs * (0.5 + luck.nextDouble());
        world.time.after(noticedMs + lateMs, () -> {
            EndpointUpdate.EndpointAddress row = row(server);
            EndpointUpdate.EndpointAddress before = row.endpoint().state() == EndpointState.REMOVED
                    ? list.remove(server.id())
                    : list.put(server.id(), row);
            if (!row.equals(before) && (before != null || row.endpoint().state() != EndpointState.REMOVED)) {
                version++;
                world.sidecars.forEach(sidecar -> deliver(sidecar, false, List.of(row)));
            }
        });
    }

    private void deliver(EmulatedSidecar sidecar, boolean whole, List<EndpointUpdate.EndpointAddress> rows) {
        long at = Math.max(
                deliveredUntil[sidecar.index()], world.time.now() + VirtualTime.ticks(spreadMs * luck.nextDouble()));
        deliveredUntil[sidecar.index()] = at;
        long told = version;
        world.time.at(at, () -> {
            // Updates lost during a fault are covered by the complete list after it.
            if (sidecar.up() && down == 0 && empty == 0 && (calls == null || calls.watches(sidecar))) {
                sidecar.listed(new EndpointUpdate(told, whole, rows));
            }
        });
    }

    private void deliverAll(EmulatedSidecar sidecar) {
        deliver(sidecar, true, new ArrayList<>(list.values()));
    }

    @Override
    public void watch(EmulatedSidecar sidecar) {
        if (calls == null) {
            deliverAll(sidecar);
        } else {
            calls.start(sidecar);
        }
    }

    @Override
    public void down(double ms) {
        if (perfect) {
            return;
        }
        down++;
        if (calls != null) {
            calls.down(ms);
        }
        world.time.after(SILENCE_MS, () -> {
            if (down > 0) {
                world.sidecars.stream().filter(EmulatedSidecar::up).forEach(EmulatedSidecar::tableLost);
            }
        });
        world.time.after(ms, () -> {
            down--;
            if (calls == null) {
                world.sidecars.forEach(this::deliverAll);
            }
        });
    }

    @Override
    public void empty(double ms) {
        if (perfect) {
            return;
        }
        if (down == 0) {
            version++;
            world.sidecars.stream()
                    .filter(EmulatedSidecar::up)
                    .forEach(sidecar -> sidecar.listed(new EndpointUpdate(version, true, List.of())));
        }
        empty++;
        world.time.after(ms, () -> {
            empty--;
            version++;
            world.sidecars.forEach(this::deliverAll);
        });
    }

    @Override
    public void late(double addedMs, double ms) {
        if (perfect) {
            return;
        }
        lateMs += addedMs;
        world.time.after(ms, () -> lateMs -= addedMs);
    }
}
