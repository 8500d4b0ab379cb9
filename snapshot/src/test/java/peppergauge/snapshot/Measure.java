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
import peppergauge.snapshot.storage.PosixFileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/** The figures of docs/SNAPSHOTS.md, by hand: {@code Measure FOLDER start|write SERVERS} or {@code journal FLUSH}. */
public final class Measure {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Measure() {}

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

    private static AdaptiveLoadBalancer module() {
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

    private static LoadBalancer.EndpointsUpdated listed(int servers) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(new Endpoint("s" + i, 0, 0, EndpointState.READY, 1_700_000_000_123.25));
        }
        return new LoadBalancer.EndpointsUpdated(true, true, entries);
    }

    /** What a start has more to do: read, check, and give back to the module at its first list. */
    private static void start(Path folder, int servers) throws Exception {
        double plain = ms(() -> module().handle(1e12, listed(servers), action -> {}));
        try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            if (servers > 0) {
                shelf.put(SnapshotFormat.encode(Samples.snapshot("a", System.currentTimeMillis(), servers)));
            }
        }
        // In the order of a start; each class is loaded here for the first time but those of the plain module.
        Optional<?>[] found = new Optional<?>[1];
        double reading = ms(() -> {
            try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
                found[0] = SnapshotToRestore.find(
                        shelf, settings(folder), "a", Samples.SETTINGS, System.currentTimeMillis(), line -> {});
            }
        });
        double giving = ms(() -> {
            LoadBalancer module = module();
            LoadBalancer round = found[0].isEmpty()
                    ? module
                    : new StateRestoringLoadBalancer(
                            module,
                            ((SnapshotToRestore) found[0].get()).snapshot(),
                            1_000,
                            server -> "10.0.0.1:" + server.substring(1),
                            line -> {});
            round.handle(1e12, listed(servers), action -> {});
        });
        System.out.printf(
                "%d servers: reading %.1f ms, first list %.1f ms, without %.1f ms%n", servers, reading, giving, plain);
    }

    private interface Work {
        void run() throws Exception;
    }

    private static double ms(Work work) throws Exception {
        long start = System.nanoTime();
        work.run();
        return (System.nanoTime() - start) / 1e6;
    }

    /** A minute's writings at full pace, while the owner thread serves; each second of service writes one. */
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
        AdaptiveLoadBalancer module = module();
        double[] now = {1e12};
        loop.submit(() -> {
                    module.handle(now[0], listed(servers), action -> {});
                    module.importState(now[0], Samples.snapshot("a", 1, servers).state(), 0);
                })
                .get();
        StateExportWarmUp.run(SETTINGS);
        StateCollector collector = new StateCollector(module, owner, () -> now[0], server -> "10.0.0.1:80");
        try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a")) {
            long cpu = THREADS.getCurrentThreadCpuTime();
            int size = 0;
            double[] took = new double[60];
            for (int i = 0; i < took.length; i++) {
                long start = System.nanoTime();
                StateCollector.CollectedState all = collector.collect();
                byte[] bytes = SnapshotFormat.encode(
                        new Snapshot("m", "a", Samples.SETTINGS, 1, all.state(), all.addresses()));
                shelf.put(bytes);
                size = bytes.length;
                took[i] = (System.nanoTime() - start) / 1e6;
            }
            Arrays.sort(took);
            System.out.printf(
                    "%d servers: %d B, CPU of the writing thread %.2f ms each, whole %.1f ms (median), "
                            + "owner thread: first piece %.3f ms, pieces at 99 %% %.3f ms, longest %.3f ms, most CPU %.3f ms%n",
                    servers,
                    size,
                    (THREADS.getCurrentThreadCpuTime() - cpu) / 1e6 / took.length,
                    took[30],
                    wallMs.get(0),
                    sorted(wallMs)[wallMs.size() * 99 / 100],
                    sorted(wallMs)[wallMs.size() - 1],
                    sorted(cpuMs)[cpuMs.size() - 1]);
        }
        loop.shutdownNow();
    }

    private static double[] sorted(List<Double> all) {
        return all.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }

    /** 300 non-repeatable requests a second, as at 1,000 requests a second, and then as many as it takes. */
    private static void journal(Path folder, boolean flush) throws Exception {
        try (SnapshotFiles shelf = new SnapshotFiles(new PosixFileSystem(), folder, "a");
                NonRepeatableJournal journal = new NonRepeatableJournal(
                        new PosixFileSystem(), shelf, 4 << 20, flush, System::currentTimeMillis, line -> {})) {
            pace(journal, "warm", 300, 3);
            long cpu = journalCpu();
            double[] waits = pace(journal, "paced", 300, 10);
            double cpuUs = (journalCpu() - cpu) / 1e3 / waits.length;
            long size = Files.size(shelf.file(".donations"));
            long start = System.nanoTime();
            double[] all = pace(journal, "most", 1e9, 0.00003);
            double perS = all.length / ((System.nanoTime() - start) / 1e9);
            System.out.printf(
                    "flush %s: wait %.3f ms (median) %.3f ms (p99) %.3f ms (most), CPU %.0f us each, %d B "
                            + "after 13 s; at most %.0f a second%n",
                    flush,
                    waits[waits.length / 2],
                    waits[waits.length * 99 / 100],
                    waits[waits.length - 1],
                    cpuUs,
                    size,
                    perS);
        }
    }

    private static long journalCpu() {
        return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().equals("request journal"))
                .mapToLong(thread -> THREADS.getThreadCpuTime(thread.getThreadId()))
                .sum();
    }

    private static double[] pace(NonRepeatableJournal journal, String name, double perS, double seconds)
            throws Exception {
        int count = (int) (perS * seconds);
        ConcurrentLinkedQueue<Double> waits = new ConcurrentLinkedQueue<>();
        CountDownLatch written = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + (long) (i / perS * 1e9);
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            String id = "00000000-request-" + name + i;
            long sent = System.nanoTime();
            journal.recordSent(id, () -> {
                waits.add((System.nanoTime() - sent) / 1e6);
                written.countDown();
                journal.recordEnded(id, false);
            });
        }
        written.await(60, TimeUnit.SECONDS);
        return waits.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    }
}
