package peppergauge.lab.nomad;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.ScriptedServer;
import peppergauge.lab.nomad.DiscoveryFixture.DiscoveryMode;
import peppergauge.membership.Membership;
import peppergauge.membership.MembershipConfig;
import peppergauge.membership.SourceUpdate;
import peppergauge.nomad.NomadSettings;
import peppergauge.nomad.NomadSource;
import peppergauge.nomad.api.AgentAddress;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.BackgroundThread;
import peppergauge.nomad.api.HttpApiClient;
import peppergauge.nomad.api.ResponseLimits;
import peppergauge.nomad.api.TokenFile;
import peppergauge.nomad.model.AttributeMapping;
import peppergauge.request.Clock;
import peppergauge.sockets.EventLoop;

/**
 * Measures the figures of docs/NOMAD.md. The first argument selects the measurement: {@code fault}, {@code leader},
 * {@code cost}, {@code deploy}, {@code start} or {@code outage}.
 */
final class ByHand {

    private static final int FAULT_RUNS = 10;

    private ByHand() {}

    public static void main(String[] arguments) throws Exception {
        switch (arguments[0]) {
            case "fault" -> fault(ApiFault.valueOf(arguments[1]), DiscoveryMode.valueOf(arguments[2]));
            case "leader" -> leader(DiscoveryMode.valueOf(arguments[1]));
            case "cost" ->
                cost(
                        Integer.parseInt(arguments[1]),
                        Boolean.parseBoolean(arguments[2]),
                        Integer.parseInt(arguments[3]),
                        Integer.parseInt(arguments[4]));
            case "deploy" -> deploy(Boolean.parseBoolean(arguments[1]));
            case "start" -> start(Integer.parseInt(arguments[1]));
            case "outage" -> outage(Integer.parseInt(arguments[1]));
            default -> throw new IllegalArgumentException(arguments[0]);
        }
        System.exit(0);
    }

    /** Runs the test of one fault repeatedly; it prints the figures. */
    private static void fault(ApiFault fault, DiscoveryMode mode) throws Exception {
        for (int i = 0; i < FAULT_RUNS; i++) {
            FaultsTest test = new FaultsTest();
            test.startServers();
            test.failsNoRequestDuringFaultAndRecoversAfterwards(fault, mode);
            test.stopServers();
        }
    }

    /** Runs the test of a leader change once. */
    private static void leader(DiscoveryMode mode) throws Exception {
        NomadEdgeCasesTest test = new NomadEdgeCasesTest();
        test.startServers();
        test.drainsServerDuringLeaderChange(mode);
        test.stopServers();
    }

    /** Nomad sources on one event loop, each with its own membership, without a sidecar. */
    private static final class Sources {

        private final EventLoop loop = new EventLoop();
        private final Clock clock = new Clock();
        private final BackgroundExecutor background = new BackgroundThread(loop);
        private final TokenFile token = new TokenFile(Optional.empty(), background);
        private final AtomicInteger lists = new AtomicInteger();
        private final AtomicInteger updates = new AtomicInteger();

        Sources(int count, String agent, boolean useStream, double spreadMs) {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            NomadSettings settings = new NomadSettings(
                    "episodes",
                    "",
                    "",
                    List.of(AgentAddress.of(agent)),
                    Optional.empty(),
                    true,
                    5_000,
                    60_000,
                    5_000,
                    250,
                    64 << 10,
                    25_000,
                    useStream,
                    5_000,
                    250,
                    10_000,
                    spreadMs,
                    true,
                    new AttributeMapping(
                            Optional.of("datacenter"),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            List.of("z0")),
                    new ResponseLimits(4 << 20, 32, 5_000));
            for (int i = 0; i < count; i++) {
                Membership membership = new Membership(MembershipConfig.defaults(List.of("nomad")));
                NomadSource.UpdateListener listener = new NomadSource.UpdateListener() {
                    @Override
                    public boolean onUpdate(SourceUpdate update) {
                        updates.incrementAndGet();
                        if (update instanceof SourceUpdate.CompleteList) {
                            lists.incrementAndGet();
                        }
                        return membership.onUpdate(clock.nowMs(), update).accepted();
                    }

                    @Override
                    public boolean isConfirmationPending(String source) {
                        return membership.isConfirmationPending(source);
                    }
                };
                new NomadSource(
                                "nomad",
                                settings,
                                new HttpApiClient(loop, background, token),
                                token,
                                background,
                                loop,
                                clock,
                                new Random(i * 7_919L),
                                listener)
                        .start(spreadMs);
            }
        }
    }

    /** Creates a cluster with this number of servers, each on its own node. */
    private static Cluster cluster(int servers) {
        Cluster cluster = new Cluster();
        for (int i = 0; i < servers; i++) {
            cluster.node("node-" + i, "z0", Map.of("rack", "r" + i % 10));
            cluster.allocation("alloc-8f3a1c52-" + i, "node-" + i, "job");
            cluster.register(
                    "_nomad-task-8f3a1c52-" + i + "-web",
                    "alloc-8f3a1c52-" + i,
                    "episodes",
                    "10.0.0.1",
                    10_000 + i,
                    List.of("zone=z0", "live"));
        }
        return cluster;
    }

    /** Returns the CPU time of the threads with this name. */
    private static double cpuMs(String thread) {
        var threads = ManagementFactory.getThreadMXBean();
        double sum = 0;
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().equals(thread)) {
                sum += threads.getThreadCpuTime(id) / 1e6;
            }
        }
        return sum;
    }

    /** Measures the CPU time and bytes of one source, after 10 s of warm-up. */
    private static void cost(int servers, boolean useStream, int changesPerS, int seconds) throws Exception {
        Cluster cluster = cluster(servers);
        try (NomadStandIn api = new NomadStandIn(cluster, 10_000)) {
            Sources sources = new Sources(1, api.address(), useStream, 100);
            for (int i = 0; i < 10 * Math.max(1, changesPerS); i++) {
                change(cluster, servers, i, changesPerS);
            }
            double loopMs = cpuMs("loop");
            double backgroundMs = cpuMs("nomad");
            long bytes = api.counts().bytes();
            int updates = sources.updates.get();
            Map<String, Long> before = api.counts().requests();
            long startedNs = System.nanoTime();
            for (int i = 0; (System.nanoTime() - startedNs) / 1e9 < seconds; i++) {
                change(cluster, servers, i, changesPerS);
            }
            double tookS = (System.nanoTime() - startedNs) / 1e9;
            System.out.printf(
                    "%d servers, stream %b, %d changes/s: event loop %.2f ms/s, background thread %.2f ms/s, "
                            + "%.0f bytes/s, %d updates, requests before %s and after %s in %.0f s%n",
                    servers,
                    useStream,
                    changesPerS,
                    (cpuMs("loop") - loopMs) / tookS,
                    (cpuMs("nomad") - backgroundMs) / tookS,
                    (api.counts().bytes() - bytes) / tookS,
                    sources.updates.get() - updates,
                    before,
                    api.counts().requests(),
                    tookS);
        }
    }

    /** Measures the requests and bytes of one source during a rolling deploy that replaces a server every 2.5 s. */
    private static void deploy(boolean useStream) throws Exception {
        Cluster cluster = cluster(12);
        try (NomadStandIn api = new NomadStandIn(cluster, 10_000)) {
            Sources sources = new Sources(1, api.address(), useStream, 100);
            Thread.sleep(5_000);
            long bytes = api.counts().bytes();
            Map<String, Long> before = api.counts().requests();
            for (int i = 0; i < 12; i++) {
                String id = "alloc-77aa0c11-" + i;
                cluster.allocation(id, "node-" + i, "job");
                cluster.allocationField(id, "ClientStatus", "running");
                cluster.register(
                        "_nomad-task-77aa0c11-" + i + "-web",
                        id,
                        "episodes",
                        "10.0.0.1",
                        20_000 + i,
                        List.of("zone=z0", "live"));
                cluster.allocationField(id, "DeploymentStatus", Map.of("Healthy", true));
                Thread.sleep(1_250);
                cluster.allocationField("alloc-8f3a1c52-" + i, "DesiredStatus", "stop");
                cluster.deregisterAllOf("alloc-8f3a1c52-" + i);
                cluster.allocationField("alloc-8f3a1c52-" + i, "ClientStatus", "complete");
                Thread.sleep(1_250);
            }
            System.out.printf(
                    "deploy of 12 in 30 s, stream %b: %d bytes, requests before %s and after %s, %d updates%n",
                    useStream,
                    api.counts().bytes() - bytes,
                    before,
                    api.counts().requests(),
                    sources.updates.get());
        }
    }

    /** Changes the tags of one server and waits, so that there are this many changes per second. */
    private static void change(Cluster cluster, int servers, int i, int perS) throws InterruptedException {
        if (perS == 0) {
            Thread.sleep(1_000);
            return;
        }
        int server = i * 31 % servers;
        cluster.register(
                "_nomad-task-8f3a1c52-" + server + "-web",
                "alloc-8f3a1c52-" + server,
                "episodes",
                "10.0.0.1",
                10_000 + server,
                List.of("zone=z0", "live", "turn=" + i));
        Thread.sleep(1_000 / perS);
    }

    /** Measures the peak request rate of sources that start together, and the time until each has a list. */
    private static void start(int count) throws Exception {
        Cluster cluster = cluster(12);
        try (NomadStandIn api = new NomadStandIn(cluster, 10_000)) {
            long startedNs = System.nanoTime();
            Sources sources = new Sources(count, api.address(), true, 2_000);
            ScriptedServer.await("all lists", 60, () -> sources.lists.get() >= count);
            System.out.printf(
                    "%d sources: all had a list after %.1f s%n", count, (System.nanoTime() - startedNs) / 1e9);
            Thread.sleep(10_000);
            System.out.printf(
                    "peak %d requests/s, %s in %.0f s, %d bytes%n",
                    api.counts().peakPerSecond(),
                    api.counts().requests(),
                    (System.nanoTime() - startedNs) / 1e9,
                    api.counts().bytes());
        }
    }

    /** Measures failed requests while the API is unreachable and half of the servers crash and are replaced. */
    private static void outage(int seconds) throws Exception {
        List<BackendStandIn> servers = new ArrayList<>();
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            servers.add(new BackendStandIn(id));
        }
        try (DiscoveryFixture fixture =
                DiscoveryFixture.of(DiscoveryMode.NOMAD, servers, "").startClients()) {
            Thread.sleep(2_000);
            fixture.discovery.setUnreachable(true);
            for (int i = 0; i < 3; i++) {
                Thread.sleep(seconds * 1_000L / 4);
                servers.get(i).close();
                fixture.discovery.remove(servers.get(i));
                BackendStandIn added = new BackendStandIn("g" + i);
                servers.add(added);
                fixture.discovery.add(added);
            }
            Thread.sleep(seconds * 1_000L / 4);
            fixture.discovery.setUnreachable(false);
            long reachableNs = System.nanoTime();
            ScriptedServer.await(
                    "requests to the new servers",
                    60,
                    () -> servers.get(6).requestCount() > 0
                            && servers.get(7).requestCount() > 0
                            && servers.get(8).requestCount() > 0);
            System.out.printf(
                    "outage of %d s, 3 of 6 servers crashed: %d requests, %d rejections, %d failed, "
                            + "correct %d ms after its end%n",
                    seconds,
                    fixture.requests(),
                    fixture.rejections(),
                    fixture.stopAndCountFailedRequests(),
                    (System.nanoTime() - reachableNs) / 1_000_000);
        }
    }
}
