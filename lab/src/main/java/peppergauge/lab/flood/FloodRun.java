package peppergauge.lab.flood;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.standin.BackendServer;
import peppergauge.lab.standin.Delay;
import peppergauge.lab.standin.DiscoveryStandIn;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.standin.FixedService;
import peppergauge.lab.wire.Loop;

/** One sidecar in a process of its own, two servers that always work, usual clients, and a flood beside them. */
public final class FloodRun implements Closeable {

    /**
     * How the sidecar is started.
     *
     * @param run a shell command, as in {@code deploy/balancer.toml}
     * @param checkout the directory in which it is run
     * @param cpu the only CPU that it may use; -1 for all
     * @param sockets how many descriptors it may have, by its settings and its process limit
     */
    public record Launch(String run, Path checkout, int cpu, int sockets) {}

    private static final int SERVERS = 2;
    private static final double SERVICE_MS = 10;
    private static final long QUIET_MS = 300;
    private static final long SAMPLE_MS = 20;
    /** Settings with a class that may be repeated and one that may not. */
    public static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"areas":["z0"],"tickMs":5,"overShareWorth":1,"registryMode":"subscribe",
             "limits":{"cancelling":true,"connIdleMs":4000,"connectTimeoutMs":200,"maxRetryAfterMs":1200,
                       "mayProbe":false,"mostTries":3,"parallelTries":false,"retryAfter":true},
             "profiles":[
               {"name":"read","aimMs":300,"deadlineMs":1000,"worth":1,"lateWorth":0.3,"effect":"idempotent"},
               {"name":"pay","aimMs":300,"deadlineMs":1000,"worth":5,"lateWorth":0.3,"effect":"at_most_once"}],
             "rules":{"coldShare":0.3,"coldMs":100,"tipMultiple":2.5,"fallMs":3000,"drainGraceMs":400},
             "tenants":[{"name":"acme","quotaPerS":100000}]}
            """;

    private final FloodPlan plan;
    private final Loop loop = Loop.sleeping("servers");
    private final SidecarProcess sidecar;
    private long peakRssKb;

    /** Starts the servers and the sidecar, and returns when it is ready. */
    public FloodRun(FloodPlan plan, Launch launch) throws IOException, InterruptedException {
        this.plan = plan;
        List<EndpointEntry> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            FixedService service =
                    new FixedService(loop, new Delay(SERVICE_MS, false), new SplittableRandom(plan.seed() + i));
            servers.add(EndpointEntry.active("s" + i, new BackendServer(loop, service).address(), "z0"));
        }
        DiscoveryStandIn discovery = new DiscoveryStandIn(loop, servers);
        loop.start();
        JsonMapper json = new JsonMapper();
        sidecar = new SidecarProcess(
                new SidecarProcess.Launch(
                        launch.checkout(), "ulimit -n " + launch.sockets() + "; " + launch.run(), launch.cpu(), 1),
                SidecarProcess.freeAddress(),
                Map.of(
                        "name", "n0",
                        "discovery",
                                discovery.address().getHostString() + ":"
                                        + discovery.address().getPort(),
                        "seed", String.format("%016x", plan.seed()),
                        "limits", Map.of("cores", 1, "memory_mb", 192, "sockets", launch.sockets()),
                        "known", json.readTree(discovery.list().json()),
                        "settings", json.readTree(SETTINGS)));
        sidecar.awaitUp();
    }

    /** Runs the flood beside the usual clients. */
    public FloodOutcome run() throws IOException, InterruptedException {
        List<UsualClient> usual = List.of(
                new UsualClient(sidecar.address(), "kept", true, plan.seed()),
                new UsualClient(sidecar.address(), "new", false, plan.seed() + 1));
        usual.forEach(UsualClient::start);
        sampleMemory(QUIET_MS);
        List<UsualClient.Exchange> exchanges = new ArrayList<>();
        long sentBytes;
        long readBytes;
        try (FloodingClients flood = new FloodingClients(plan, sidecar.address())) {
            flood.start();
            sampleMemory(plan.floodMs());
            for (UsualClient client : usual) {
                exchanges.addAll(client.stop());
            }
            sentBytes = flood.sentBytes();
            readBytes = flood.readBytes();
        }
        sampleMemory(QUIET_MS);
        return new FloodOutcome(plan, exchanges, peakRssKb, sidecar.isAlive(), sentBytes, readBytes, sidecar.said());
    }

    private void sampleMemory(long durationMs) throws InterruptedException {
        long untilNs = System.nanoTime() + durationMs * 1_000_000;
        while (System.nanoTime() - untilNs < 0) {
            peakRssKb = Math.max(peakRssKb, sidecar.usage().rssKb());
            Thread.sleep(SAMPLE_MS);
        }
    }

    @Override
    public void close() throws IOException {
        sidecar.close();
        loop.close();
    }
}
