package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.plugin.PluginExtension;
import peppergauge.plugin.TestModules;
import peppergauge.plugin.TestSpecs;
import peppergauge.plugin.executor.PoolSettings;
import peppergauge.plugin.files.PluginSpec;
import peppergauge.plugin.rules.OnFailure;
import peppergauge.plugin.wat.Assembler;

/** Runs plug-ins in a sidecar on real sockets: each request gets exactly one response in time. */
public class PluginsOverSocketsTest extends RealTimeTestBase {

    private static final ScriptedServer.Script OK =
            (request, connection) -> ScriptedServer.write(connection, ScriptedServer.okResponse("body"));
    /** A budget that is long enough for other events to occur during a call. */
    private static final PoolSettings LONG_BUDGET = new PoolSettings(1, 4, 256 << 10, 1_000, 300);
    /** A budget that a well-behaved plug-in meets also on a busy machine. */
    private static final PoolSettings RELAXED_BUDGET = new PoolSettings(1, 32, 256 << 10, 40, 300);

    private PluginExtension extension;

    private SidecarFixture startSidecar(PluginSpec... specs) throws Exception {
        extension = new PluginExtension(List.of(specs));
        SidecarFixture.extensionSupplier = () -> extension;
        return new SidecarFixture(OK);
    }

    @AfterMethod
    public void removeExtension() {
        SidecarFixture.extensionSupplier = () -> SidecarExtension.NONE;
    }

    private static byte[] misbehaving(String name) {
        return Assembler.assemble(TestModules.misbehaving().get(name));
    }

    private static PluginSpec spec(byte[] module, OnFailure onFailure) throws Exception {
        return TestSpecs.of("p" + System.nanoTime(), module, onFailure, RELAXED_BUDGET);
    }

    @Test
    public void sendsSetHeaderToBackendServerUnlessNextPluginRemovesIt() throws Exception {
        try (SidecarFixture fixture = startSidecar(spec(TestModules.tagging(), OnFailure.OPEN))) {
            assertEquals(status(fixture, SidecarFixture.post("t1", 900, "x")), 200);
            assertEquals(fixture.backend.requests.get(0).header("X-Tag"), "v");
            assertEquals(fixture.backend.requests.get(0).header("X-Txn"), "t1");
        }
        try (SidecarFixture fixture = startSidecar(
                spec(TestModules.tagging(), OnFailure.OPEN), spec(TestModules.removingTag(), OnFailure.OPEN))) {
            String message = SidecarFixture.post("t1", 900, "x").replace("Host", "X-Tag: old\r\nHost");
            assertEquals(status(fixture, message), 200);
            assertEquals(fixture.backend.requests.get(0).header("X-Tag"), null);
        }
    }

    @Test
    public void respondsToDenialWith503AndRetryAfterWithoutAttempt() throws Exception {
        try (SidecarFixture fixture = startSidecar(spec(TestModules.denying(), OnFailure.OPEN))) {
            ScriptedServer.Request response = fixture.exchange(SidecarFixture.post("t1", 900, "x"));
            assertEquals(SidecarFixture.status(response), 503);
            assertEquals(response.header("Retry-After"), "0.500");
            assertEquals(fixture.backend.requests.size(), 0);
        }
    }

    @DataProvider
    public Object[][] failing() {
        return TestModules.misbehaving().keySet().stream()
                .filter(name -> !name.contains("0.9") && !"grows".equals(name))
                .map(name -> new Object[] {name})
                .toArray(Object[][]::new);
    }

    /** Holds for repeated failures, also once the circuit breaker is open. */
    @Test(dataProvider = "failing")
    public void forwardsAfterFailureIfOpenAndDeniesIfClosed(String name) throws Exception {
        try (SidecarFixture fixture =
                startSidecar(spec(misbehaving(name), OnFailure.OPEN), spec(TestModules.tagging(), OnFailure.OPEN))) {
            for (int i = 0; i < 8; i++) {
                assertEquals(status(fixture, SidecarFixture.post("t" + i, 900, "x")), 200, name);
            }
            assertEquals(fixture.backend.requests.size(), 8);
            assertEquals(extension.report().get(0).get("state"), "left out");
            assertEquals(extension.report().get(1).get("failed"), 0L);
        }
        try (SidecarFixture fixture = startSidecar(spec(misbehaving(name), OnFailure.CLOSED))) {
            for (int i = 0; i < 8; i++) {
                assertEquals(status(fixture, SidecarFixture.post("t" + i, 900, "x")), 503, name);
            }
            assertEquals(fixture.backend.requests.size(), 0);
        }
    }

    @Test
    public void endsRequestWhoseClientDisconnectsOrDeadlinePassesDuringCall() throws Exception {
        try (SidecarFixture fixture =
                startSidecar(TestSpecs.of("p", misbehaving("loops"), OnFailure.OPEN, LONG_BUDGET))) {
            try (Socket client = fixture.client()) {
                byte[] message = SidecarFixture.post("left", 3_000, "x").getBytes(StandardCharsets.ISO_8859_1);
                client.getOutputStream().write(message);
                Thread.sleep(100);
            }
            long startNs = System.nanoTime();
            assertEquals(status(fixture, SidecarFixture.get("late", 300)), 504);
            double tookMs = (System.nanoTime() - startNs) / 1e6;
            assertTrue(tookMs > 250 && tookMs < 900, "response after " + tookMs + " ms, expected 250 to 900");
            Thread.sleep(1_200);
            assertEquals(fixture.backend.requests.size(), 0);
        }
    }

    @Test
    public void rejectsDuplicateIdDuringCall() throws Exception {
        try (SidecarFixture fixture =
                startSidecar(TestSpecs.of("p", misbehaving("loops"), OnFailure.OPEN, LONG_BUDGET))) {
            CompletableFuture<Integer> first =
                    CompletableFuture.supplyAsync(() -> status(fixture, SidecarFixture.post("t", 3_000, "x")));
            // Either of the two may arrive first.
            assertEquals(Set.of(status(fixture, SidecarFixture.post("t", 3_000, "x")), first.get()), Set.of(200, 409));
            assertEquals(fixture.backend.requests.size(), 1);
        }
    }

    private static int status(SidecarFixture fixture, String message) {
        try {
            return SidecarFixture.status(fixture.exchange(message));
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    @Test
    public void forwardsRequestsWhenQueueOfCallsIsFull() throws Exception {
        PoolSettings smallQueue = new PoolSettings(1, 1, 256 << 10, 400, 300);
        try (SidecarFixture fixture =
                startSidecar(TestSpecs.of("p", misbehaving("loops"), OnFailure.OPEN, smallQueue))) {
            List<CompletableFuture<Integer>> all = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                String message = SidecarFixture.post("t" + i, 900, "x");
                all.add(CompletableFuture.supplyAsync(() -> status(fixture, message)));
            }
            int served = 0;
            for (CompletableFuture<Integer> one : all) {
                // Overload control may reject some requests on a busy machine.
                assertTrue(one.get() == 200 || one.get() == 503);
                served += one.get() == 200 ? 1 : 0;
            }
            assertTrue(served > 0);
            assertEquals(fixture.backend.requests.size(), served);
        }
    }

    @Test
    public void answersAcceptedRequestDuringGracefulShutdown() throws Exception {
        try (SidecarFixture fixture =
                startSidecar(TestSpecs.of("p", misbehaving("loops"), OnFailure.OPEN, LONG_BUDGET))) {
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(fixture.sidecar::shutDownGracefully);
            Thread.sleep(400);
            CompletableFuture<Integer> open =
                    CompletableFuture.supplyAsync(() -> status(fixture, SidecarFixture.post("t", 3_000, "x")));
            assertEquals((int) open.get(), 200);
            shutdown.get();
        }
    }

    @Test
    public void keepsPreviousPluginsWhenReloadFails() throws Exception {
        try (SidecarFixture fixture = startSidecar(spec(TestModules.tagging(), OnFailure.OPEN))) {
            for (Object[] invalid : TestModules.invalid().values()) {
                IllegalArgumentException failure = expectThrows(
                        IllegalArgumentException.class,
                        () -> extension.prepare(List.of(
                                spec(TestModules.denying(), OnFailure.OPEN),
                                TestSpecs.of("broken", (byte[]) invalid[0], OnFailure.OPEN))));
                assertTrue(
                        failure.getMessage().contains("plug-in broken")
                                && failure.getMessage().contains((String) invalid[1]),
                        failure.getMessage());
            }
            assertThrows(
                    IllegalArgumentException.class,
                    () -> extension.prepare(List.of(new PluginSpec(
                            "gone",
                            Path.of("/nowhere"),
                            List.of(),
                            OnFailure.OPEN,
                            0,
                            Set.of(),
                            List.of(),
                            List.of(),
                            Map.of(),
                            ZoneOffset.UTC,
                            TestSpecs.LIMITS,
                            TestSpecs.POOL,
                            5,
                            1,
                            0))));
            assertEquals(status(fixture, SidecarFixture.post("t", 900, "x")), 200);
            assertEquals(fixture.backend.requests.get(0).header("X-Tag"), "v");
        }
    }

    /** Reloads leak no classes or threads; each request gets a response and is executed at most once. */
    @Test
    public void releasesClassesAndThreadsAfterReloadsUnderLoad() throws Exception {
        try (SidecarFixture fixture = startSidecar(spec(TestModules.tagging(), OnFailure.OPEN))) {
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger denied = new AtomicInteger();
            boolean[] isFinished = {false};
            List<CompletableFuture<Void>> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                clients.add(CompletableFuture.runAsync(() -> {
                    while (!isFinished[0]) {
                        int status = status(fixture, SidecarFixture.post("t" + sent.incrementAndGet(), 900, "x"));
                        (status == 200 ? served : denied).addAndGet(status == 200 || status == 503 ? 1 : 1_000_000);
                        LockSupport.parkNanos(10_000_000);
                    }
                }));
            }
            long[] before = null;
            for (int i = 0; i < 120; i++) {
                if (i == 20) {
                    before = resources();
                }
                String bad = i % 3 == 0 ? "traps" : "is of an unknown kind";
                extension
                        .prepare(List.of(
                                TestSpecs.of("a", misbehaving(bad), OnFailure.OPEN),
                                TestSpecs.of("b", TestModules.tagging(), OnFailure.OPEN, RELAXED_BUDGET)))
                        .install();
            }
            long[] after = resources();
            isFinished[0] = true;
            clients.forEach(CompletableFuture::join);
            System.out.println("100 reloads: classes " + before[0] + " to " + after[0] + ", threads "
                    + before[1] + " to "
                    + after[1] + ", heap KiB " + before[2] / 1024 + " to " + after[2] / 1024 + ", requests " + sent
                    + ", denied " + denied);
            assertEquals(served.get() + denied.get(), sent.get());
            Set<String> ids = new HashSet<>();
            fixture.backend.requests.forEach(request -> assertTrue(ids.add(request.header("X-Txn"))));
            assertEquals(ids.size(), served.get());
            assertTrue(after[0] - before[0] < 60, "classes " + before[0] + " to " + after[0]);
            assertTrue(after[1] - before[1] <= 4, "threads " + before[1] + " to " + after[1]);
        }
    }

    /** Number of loaded classes, number of plug-in threads and used heap bytes, after a garbage collection. */
    private static long[] resources() throws Exception {
        Thread.sleep(800);
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return new long[] {
            ManagementFactory.getClassLoadingMXBean().getLoadedClassCount(),
            Thread.getAllStackTraces().keySet().stream()
                    .filter(thread -> thread.getName().startsWith("plugin-"))
                    .count(),
            ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
        };
    }

    @Test
    public void notifiesPluginOfResponsesAndTicksAndKeepsCountersOnReload() throws Exception {
        byte[] module = Assembler.assemble("""
                (module (import "peppergauge" "count" (func $count (param i32 i32 i64) (result i32)))
                  (memory (export "memory") 1)
                  (data (i32.const 0) "tickstatusattemptszonez0")
                  (func (export "abi_version") (result i32) (i32.const 1))
                  (func (export "alloc") (param i32) (result i32) (i32.const 4096))
                  (func (export "on_session") (param i32 i32) (result i64) (i64.const 0))
                  (func (export "on_tick") (drop (call $count (i32.const 0) (i32.const 4) (i64.const 1))))
                  (func (export "on_answer") (param $p i32) (param $l i32)
                    (drop (call $count (i32.const 4) (i32.const 6)
                      (i64.extend_i32_u (i32.load16_u offset=2 (local.get $p)))))
                    (drop (call $count (i32.const 10) (i32.const 8)
                      (i64.extend_i32_u (i32.load16_u offset=8 (local.get $p)))))
                    (drop (call $count (i32.add (local.get $p) (i32.load16_u offset=24 (local.get $p)))
                      (i32.load16_u offset=26 (local.get $p)) (i64.const 1)))))
                """);
        try (SidecarFixture fixture = startSidecar(TestSpecs.of("counts", module, OnFailure.OPEN))) {
            for (int i = 0; i < 3; i++) {
                assertEquals(status(fixture, SidecarFixture.post("t" + i, 900, "x")), 200);
            }
            ScriptedServer.await(() -> counters().containsKey("tick"));
            assertEquals(counters().get("status"), Long.valueOf(600));
            assertEquals(counters().get("attempts"), Long.valueOf(3));
            assertEquals(counters().get("z0"), Long.valueOf(3));
            extension
                    .prepare(List.of(TestSpecs.of("counts", module, OnFailure.OPEN)))
                    .install();
            assertTrue(counters().get("status") >= 600);
            assertFalse(extension.report().isEmpty());
        }
    }

    @SuppressWarnings("unchecked") // the report contains this type
    private Map<String, Long> counters() {
        return (Map<String, Long>) extension.report().get(0).get("counters");
    }
}
