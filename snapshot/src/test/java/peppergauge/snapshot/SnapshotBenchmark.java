package peppergauge.snapshot;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.request.Scheduler;
import peppergauge.snapshot.SnapshotSettings.JournalMode;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.nonrepeatable.NonRepeatableJournal;
import peppergauge.snapshot.restore.StateRestoringLoadBalancer;
import peppergauge.snapshot.storage.EventLog;
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Measures the figures of docs/SNAPSHOTS.md. Run by hand: {@code SnapshotBenchmark FOLDER start|write SERVERS} or
 * {@code SnapshotBenchmark FOLDER journal FLUSH}.
 */
public final class SnapshotBenchmark {

    private static final EventLog NO_LOG = (event, fields) -> {};
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private SnapshotBenchmark() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        switch (args[1]) {
            case "start" -> start(folder, Integer.parseInt(args[2]));
            case "write" -> write(folder, Integer.parseInt(args[2]));
            default -> journal(folder, Boolean.parseBoolean(args[2]));
        }
    }

    private static SnapshotSettings settings(Path folder) {
        return new SnapshotSettings(
                folder, Duration.ofSeconds(1), 4 << 20, 16 << 20, Duration.ofHours(2), JournalMode.OFF, 4 << 20);
    }

    private static AdaptiveLoadBalancer loadBalancer() {
        return new AdaptiveLoadBalancer(SETTINGS, 7);
    }

    private static final Settings SETTINGS = new Settings(
            0,
            1,
            0,
            5,
            false,
            1,
            List.of(new LoadBalancer.RequestClass(400, 1_000, 1, 0.3, Idempotency.IDEMPOTENT, KeyScope.ALL, 0)),
            List.of(),
            new LoadBalancer.Limits(4, false, true, false, true, 1_200, false, 800),
            new LoadBalancer.Rules(0.3, 100, 2.5, 3_000, true, LoadBalancer.RetryBudgetConfig.UNLIMITED),
            List.of(LoadField.IN_FLIGHT));

    private static LoadBalancer.EndpointsUpdated endpointsUpdated(int servers) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            endpoints.add(new Endpoint("s" + i, 0, 0, EndpointState.READY, 1_700_000_000_123.25));
        }
        return new LoadBalancer.EndpointsUpdated(true, true, endpoints);
    }

    /** Measures what a start with a snapshot adds: reading, verifying, and restoring at the first endpoint list. */
    private static void start(Path folder, int servers) throws Exception {
        double withoutMs = ms(() -> loadBalancer().handle(1e12, endpointsUpdated(servers), action -> {}));
        try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            if (servers > 0) {
                files.put(SnapshotFormat.encode(SampleSnapshots.snapshot("a", System.currentTimeMillis(), servers)));
            }
        }
        // In the order of a start. Only the classes of the load balancer are already loaded.
        Optional<?>[] found = new Optional<?>[1];
        double readMs = ms(() -> {
            try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
                found[0] = SnapshotToRestore.find(
                        files, settings(folder), "a", SampleSnapshots.SETTINGS, System.currentTimeMillis(), NO_LOG);
            }
        });
        double restoreMs = ms(() -> {
            LoadBalancer loadBalancer = loadBalancer();
            LoadBalancer restoring = found[0].isEmpty()
                    ? loadBalancer
                    : new StateRestoringLoadBalancer(
                            loadBalancer,
                            ((SnapshotToRestore) found[0].get()).snapshot(),
                            1_000,
                            server -> "10.0.0.1:" + server.substring(1),
                            result -> {});
            restoring.handle(1e12, endpointsUpdated(servers), action -> {});
        });
        System.out.printf(
                "%d servers: read %.1f ms, first list %.1f ms, without snapshot %.1f ms%n",
                servers, readMs, restoreMs, withoutMs);
    }

    private interface Operation {
        void run() throws Exception;
    }

    private static double ms(Operation operation) throws Exception {
        long start = System.nanoTime();
        operation.run();
        return (System.nanoTime() - start) / 1e6;
    }

    /** Measures 60 writes in a row, which a sidecar distributes over a minute, and their tasks on the owner thread. */
    private static void write(Path folder, int servers) throws Exception {
        List<Double> wallMs = new ArrayList<>();
        List<Double> cpuMs = new ArrayList<>();
        ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
        Scheduler owner = new Scheduler() {
            @Override
            public void execute(Runnable task) {
                loop.execute(() -> {
                    long cpu = THREADS.getCurrentThreadCpuTime();
                    long start = System.nanoTime();
                    task.run();
                    wallMs.add((System.nanoTime() - start) / 1e6);
                    cpuMs.add((THREADS.getCurrentThreadCpuTime() - cpu) / 1e6);
                });
            }

            @Override
            public ScheduledTask schedule(double ms, Runnable task) {
                throw new UnsupportedOperationException();
            }
        };
        AdaptiveLoadBalancer loadBalancer = loadBalancer();
        double[] nowMs = {1e12};
        loop.submit(() -> {
                    loadBalancer.handle(nowMs[0], endpointsUpdated(servers), action -> {});
                    loadBalancer.importState(
                            nowMs[0], SampleSnapshots.snapshot("a", 1, servers).state(), 0);
                })
                .get();
        StateExportWarmUp.run(SETTINGS);
        StateCollector collector = new StateCollector(loadBalancer, owner, () -> nowMs[0], server -> "10.0.0.1:80");
        try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            long cpu = THREADS.getCurrentThreadCpuTime();
            int size = 0;
            double[] durationsMs = new double[60];
            for (int i = 0; i < durationsMs.length; i++) {
                long start = System.nanoTime();
                StateCollector.CollectedState collected = collector.collect();
                byte[] bytes = SnapshotFormat.encode(
                        new Snapshot("m", "a", SampleSnapshots.SETTINGS, 1, collected.state(), collected.addresses()));
                files.put(bytes);
                size = bytes.length;
                durationsMs[i] = (System.nanoTime() - start) / 1e6;
            }
            Arrays.sort(durationsMs);
            System.out.printf(
                    "%d servers: %d B, CPU of the writing thread %.2f ms per snapshot, duration %.1f ms (median), "
                            + "owner thread: first task %.3f ms, p99 %.3f ms, longest %.3f ms, most CPU %.3f ms%n",
                    servers,
                    size,
                    (THREADS.getCurrentThreadCpuTime() - cpu) / 1e6 / durationsMs.length,
                    durationsMs[30],
                    wallMs.get(0),
                    sorted(wallMs)[wallMs.size() * 99 / 100],
                    sorted(wallMs)[wallMs.size() - 1],
                    sorted(cpuMs)[cpuMs.size() - 1]);
        }
        loop.shutdownNow();
    }

    private static double[] sorted(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /**
     * Measures the journal at 300 non-repeatable requests a second, as at 1,000 requests a second in all, and then at
     * its maximum rate.
     */
    private static void journal(Path folder, boolean flush) throws Exception {
        try (SnapshotFiles files = new SnapshotFiles(new PosixFileSystem(), folder, "a");
                NonRepeatableJournal journal = new NonRepeatableJournal(
                        new PosixFileSystem(), files, 4 << 20, flush, System::currentTimeMillis, NO_LOG)) {
            recordAtRate(journal, "warm", 300, 3);
            long cpu = journalCpu();
            double[] waits = recordAtRate(journal, "paced", 300, 10);
            double cpuUs = (journalCpu() - cpu) / 1e3 / waits.length;
            long size = Files.size(files.file(".donations"));
            long start = System.nanoTime();
            double[] maxRateWaits = recordAtRate(journal, "most", 1e9, 0.00003);
            double maxPerS = maxRateWaits.length / ((System.nanoTime() - start) / 1e9);
            System.out.printf(
                    "flush %s: wait %.3f ms (median) %.3f ms (p99) %.3f ms (longest), CPU %.0f us each, %d B "
                            + "after 13 s; at most %.0f a second%n",
                    flush,
                    waits[waits.length / 2],
                    waits[waits.length * 99 / 100],
                    waits[waits.length - 1],
                    cpuUs,
                    size,
                    maxPerS);
        }
    }

    private static long journalCpu() {
        return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().equals("request journal"))
                .mapToLong(thread -> THREADS.getThreadCpuTime(thread.getThreadId()))
                .sum();
    }

    private static double[] recordAtRate(NonRepeatableJournal journal, String name, double perS, double seconds)
            throws Exception {
        int count = (int) (perS * seconds);
        ConcurrentLinkedQueue<Double> waits = new ConcurrentLinkedQueue<>();
        CountDownLatch written = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long dueNanos = start + (long) (i / perS * 1e9);
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            String id = "00000000-request-" + name + i;
            long sentNanos = System.nanoTime();
            journal.recordSent(id, new NonRepeatableJournal.RecordListener() {
                @Override
                public void onRecorded() {
                    waits.add((System.nanoTime() - sentNanos) / 1e6);
                    written.countDown();
                    journal.recordEnded(id, false);
                }

                @Override
                public void onFailed() {
                    throw new IllegalStateException("the disk has failed");
                }
            });
        }
        written.await(60, TimeUnit.SECONDS);
        return waits.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }
}
