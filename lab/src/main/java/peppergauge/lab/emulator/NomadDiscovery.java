package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.lab.nomad.ApiFault;
import peppergauge.lab.nomad.Cluster;
import peppergauge.lab.scenario.Discovery;
import peppergauge.lab.scenario.Scenario;
import peppergauge.membership.Membership;
import peppergauge.membership.MembershipConfig;
import peppergauge.nomad.MembershipRunner;
import peppergauge.nomad.NomadSettings;
import peppergauge.nomad.NomadSource;
import peppergauge.nomad.api.AgentAddress;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.ResponseLimits;
import peppergauge.nomad.api.TokenFile;
import peppergauge.nomad.model.AttributeMapping;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.Scheduler;

/**
 * Discovery by Nomad: one cluster whose API answers in virtual time, and at each sidecar the real Nomad source and the
 * real membership. A draining server changes its node and allocation and loses its registration; a server that stops
 * silently is noticed when its node counts as down.
 */
final class NomadDiscovery implements DiscoveryModel {

    static final String SERVICE = "episodes";
    private static final String SOURCE = "nomad";
    private static final int CELL_PORT = 80;

    private final EmulationContext context;
    private final UniformRandomProvider random;
    private final Cluster cluster = new Cluster();
    private final NomadApi api;
    private final double noticeMs;
    private final double silentMs;
    private final NomadSettings settings;
    /** Last state of each server that the cluster knows. */
    private final Map<String, EndpointState> knownStates = new HashMap<>();
    /** Current allocation of each server; each start has a new one. */
    private final Map<String, String> allocations = new HashMap<>();

    private double lateMs;

    NomadDiscovery(EmulationContext context) {
        Discovery discoverySettings = context.scenario.discovery();
        this.context = context;
        random = context.streams.of("discovery");
        noticeMs = Scenario.toMillis(discoverySettings.notice());
        silentMs = Scenario.toMillis(discoverySettings.silentNotice());
        api = new NomadApi(context.time, cluster, context.streams.of("nomad"));
        // Defaults of an operator file of kind nomad that sets only two agents.
        settings = new NomadSettings(
                SERVICE,
                "",
                "",
                List.of(AgentAddress.of("10.0.0.1:4646"), AgentAddress.of("10.0.0.2:4646")),
                Optional.empty(),
                true,
                5_000,
                60_000,
                5_000,
                250,
                64 << 10,
                25_000,
                true,
                5_000,
                250,
                10_000,
                2_000,
                true,
                new AttributeMapping(
                        Optional.of("datacenter"),
                        Optional.of("tag:cell="),
                        Optional.empty(),
                        Optional.empty(),
                        context.scenario.network().zones()),
                new ResponseLimits(4 << 20, 32, 5_000));
    }

    @Override
    public void open() {
        List<EndpointUpdate.EndpointAddress> addresses = new ArrayList<>();
        for (BackendServer server : context.fleet.all()) {
            register(server);
            addresses.add(PlatformDiscovery.address(server));
        }
        context.sidecars.forEach(sidecar -> sidecar.setInitialEndpoints(addresses));
    }

    @Override
    public Backend wrapBackend(
            EmulatedSidecar sidecar,
            Scheduler loop,
            Clock clock,
            List<EndpointUpdate.EndpointAddress> known,
            Backend backend) {
        MembershipRunner membershipRunner = new MembershipRunner(
                new Membership(MembershipConfig.defaults(List.of(SOURCE))),
                loop,
                clock,
                sidecar::onEndpointUpdate,
                reason -> {});
        BackgroundExecutor immediate = new ImmediateExecutor(loop);
        SplittableRandom random =
                new SplittableRandom(context.streams.number("nomad/" + sidecar.name() + '/' + sidecar.processNumber()));
        loop.execute(() -> membershipRunner.start(known));
        new NomadSource(
                        SOURCE,
                        settings,
                        api.from(loop),
                        new TokenFile(Optional.empty(), immediate),
                        immediate,
                        loop,
                        clock,
                        random,
                        membershipRunner)
                .start(settings.startSpreadMs());
        return membershipRunner.wrapBackend(backend, Runnable::run);
    }

    // ---- Server changes ----

    @Override
    public void onServerChanged(BackendServer server, boolean silently) {
        double after = silently ? silentMs : noticeMs * (0.5 + random.nextDouble());
        context.time.after(after + lateMs, () -> {
            EndpointState now = server.up() ? server.state() : EndpointState.REMOVED;
            EndpointState before = knownStates.getOrDefault(server.id(), EndpointState.REMOVED);
            boolean again = now == EndpointState.READY
                    && before == now
                    && !allocation(server).equals(allocations.get(server.id()));
            // A server that started and drained before it was noticed was never registered.
            if (now == before && !again || now == EndpointState.DRAINING && before == EndpointState.REMOVED) {
                return;
            }
            if (again) {
                remove(server, false, before);
            }
            switch (now) {
                case READY -> register(server);
                case DRAINING -> drain(server);
                case REMOVED -> remove(server, silently, before);
            }
            api.changed();
        });
    }

    private void register(BackendServer server) {
        String node = node(server);
        if (cluster.knowsNode(node)) {
            cluster.nodeField(node, "Status", "ready");
        } else {
            cluster.node(node, context.scenario.network().zones().get(server.zone()), Map.of());
        }
        String allocation = allocation(server);
        allocations.put(server.id(), allocation);
        cluster.allocation(allocation, node, "job", (long) Math.ceil(server.startedMs()));
        String host = server.address().substring(0, server.address().lastIndexOf(':'));
        cluster.register(server.id(), allocation, SERVICE, host, CELL_PORT, List.of("cell=" + server.cell()));
        knownStates.put(server.id(), EndpointState.READY);
    }

    private void drain(BackendServer server) {
        cluster.nodeField(node(server), "DrainStrategy", Map.of("Deadline", 1));
        cluster.allocationField(allocations.get(server.id()), "DesiredStatus", "stop");
        cluster.deregister(server.id());
        knownStates.put(server.id(), EndpointState.DRAINING);
    }

    private void remove(BackendServer server, boolean silently, EndpointState before) {
        if (silently) {
            cluster.nodeField(node(server), "Status", "down");
        }
        cluster.allocationField(allocations.get(server.id()), "ClientStatus", silently ? "lost" : "complete");
        if (before == EndpointState.READY) {
            cluster.deregister(server.id());
        }
        knownStates.put(server.id(), EndpointState.REMOVED);
    }

    private static String node(BackendServer server) {
        return "node-" + server.id();
    }

    private static String allocation(BackendServer server) {
        return "alloc-" + server.id() + '-' + server.incarnation();
    }

    // ---- Incidents ----

    /** Does nothing: the Nomad source reconnects by itself. */
    @Override
    public void resumeWatch(EmulatedSidecar sidecar) {}

    @Override
    public void startOutage(double ms) {
        api.fault(ApiFault.REFUSE, ms);
    }

    @Override
    public void startEmptyList(double ms) {
        api.fault(ApiFault.EMPTY, ms);
    }

    @Override
    public void delayUpdates(double addedMs, double ms) {
        lateMs += addedMs;
        context.time.after(ms, () -> lateMs -= addedMs);
    }

    @Override
    public void fault(ApiFault fault, double ms) {
        api.fault(fault, ms);
    }

    /** Runs background work immediately, in no virtual time. */
    private record ImmediateExecutor(Scheduler loop) implements BackgroundExecutor {

        @Override
        public <T> void submit(Supplier<T> work, Consumer<T> done, Consumer<String> failed) {
            try {
                T result = work.get();
                loop.execute(() -> done.accept(result));
            } catch (IllegalArgumentException unusable) {
                loop.execute(() -> failed.accept(unusable.getMessage()));
            }
        }

        @Override
        public void close() {}
    }
}
