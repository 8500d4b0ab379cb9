package peppergauge.lab.flood;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;

/** Floods a real sidecar that has the least memory and the fewest descriptors that its pages name. */
public class FloodTest extends RealTimeTestBase {

    private static final int SOCKETS = 1_024;
    private static final long FLOOD_MS = 2_500;
    private static final long HOLD_MS = 200;
    private static final int ANY_RATE = 0;
    private static final int ALL_CPUS = -1;

    private static FloodOutcome run(FloodPlan plan) throws Exception {
        return run(plan, ALL_CPUS);
    }

    private static FloodOutcome run(FloodPlan plan, int cpu) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        String command = "exec " + java + " -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms24m -Xmx64m -Xss256k "
                + "-XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -cp " + classPath + " peppergauge.Main serve";
        try (FloodRun run =
                new FloodRun(plan, new FloodRun.Launch(command, Path.of("").toAbsolutePath(), cpu, SOCKETS))) {
            return run.run();
        }
    }

    /** Kind, connections, requests a second of each, and whether the flood reads its responses. */
    @DataProvider
    public Object[][] floods() {
        return new Object[][] {
            {FloodKind.READY, 1, ANY_RATE, true},
            {FloodKind.READY, 1, 18_000, false},
            {FloodKind.READY, 20, ANY_RATE, false},
            {FloodKind.INVALID, 1, ANY_RATE, false},
            {FloodKind.NEW_CLASSES, 6, ANY_RATE, true},
            {FloodKind.SAFE_REQUESTS, 1, ANY_RATE, true},
            {FloodKind.UNSAFE_REQUESTS, 100, ANY_RATE, false},
            {FloodKind.SINGLE_BYTE_CHUNKS, 20, ANY_RATE, true},
            {FloodKind.EMPTY_LINES, 20, ANY_RATE, true},
            {FloodKind.PARTIAL_BODY, 450, ANY_RATE, false},
        };
    }

    /** One client that wrote faster than the sidecar read got the event loop for itself, until the heap was full. */
    @Test(dataProvider = "floods")
    public void answersUsualClientsInTimeBesideFlood(FloodKind kind, int connections, int rate, boolean reads)
            throws Exception {
        FloodOutcome outcome = run(new FloodPlan(kind, connections, rate, reads, HOLD_MS, FLOOD_MS, 1));
        assertEquals(outcome.violations(), List.of(), outcome.toString());
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {{FloodKind.MANY_FIELDS}, {FloodKind.PARTIAL_HEAD}};
    }

    /** Unfinished heads of very many short fields filled the heap. */
    @Test(dataProvider = "heads")
    public void answersUsualClientsInTimeBesideHeadsOfManyFields(FloodKind kind) throws Exception {
        FloodOutcome outcome = run(new FloodPlan(kind, 450, ANY_RATE, false, HOLD_MS, FLOOD_MS, 1));
        assertEquals(outcome.violations(), List.of(), outcome.toString());
    }

    /** Requests that two connections pipeline take the places of usual requests at the load balancer. */
    @Test(groups = "known-red")
    public void servesHalfOfUsualRequestsBesideChunkedRequestsOfTwoConnections() throws Exception {
        FloodOutcome outcome =
                run(new FloodPlan(FloodKind.SINGLE_BYTE_CHUNKS, 2, ANY_RATE, false, HOLD_MS, FLOOD_MS, 79), 0);
        assertEquals(outcome.violations(), List.of(), outcome.toString());
    }
}
