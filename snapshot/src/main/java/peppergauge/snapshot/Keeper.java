package peppergauge.snapshot;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.storage.ByteAllowance;
import peppergauge.snapshot.storage.FailureLog;
import peppergauge.snapshot.storage.SnapshotFiles;

/** Writes snapshots on a thread of its own, one now and then and a last one at the end. What fails is tried again. */
final class Keeper {

    /** What a stop waits for what the module knows, and then for the disk, ms. */
    private static final long LAST_COLLECTING_MS = 100;

    private static final long LAST_WRITING_MS = 500;
    /** Bytes of a server's row beside its names, and of all else, at the most. */
    private static final int ROW = 120;

    private static final int REST = 8_000;

    private final SnapshotSettings settings;
    private final String name;
    private final String meaning;
    private final Collector collector;
    private final SnapshotFiles shelf;
    private final ByteAllowance allowance;
    private final FailureLog complaints;
    private final Consumer<String> log;
    private final Semaphore stop = new Semaphore(0);
    private final CountDownLatch lastCollected = new CountDownLatch(1);
    private final Thread writer = new Thread(this::run, "snapshot");
    private volatile long written;
    private volatile int writings;

    Keeper(
            SnapshotSettings settings,
            String name,
            String meaning,
            Collector collector,
            SnapshotFiles shelf,
            Consumer<String> log) {
        this.settings = settings;
        this.name = name;
        this.meaning = meaning;
        this.collector = collector;
        this.shelf = shelf;
        this.log = log;
        allowance = new ByteAllowance(settings.mostPerMinute(), monotonicMs());
        complaints = new FailureLog(log);
        writer.setDaemon(true);
    }

    void start() {
        writer.start();
    }

    private void run() {
        try {
            boolean last = false;
            while (!last) {
                last = stop.tryAcquire(settings.every().toMillis(), TimeUnit.MILLISECONDS);
                keep(last);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void keep(boolean last) throws InterruptedException {
        try {
            // Stamped before the figures are read: it must not seem younger than it is.
            long wallMs = System.currentTimeMillis();
            Collector.Collected collected = collector.collect();
            if (last) {
                lastCollected.countDown();
            }
            if (collected.learned().cluster() != null
                    && collected.learned().cluster().latency().weight() > 0) {
                write(wallMs, collected, last);
            }
        } catch (TimeoutException | IOException | RuntimeException failed) {
            String why = failed instanceof IOException broken
                    ? SnapshotFiles.reason(broken)
                    : failed instanceof TimeoutException ? "the sidecar is too busy" : failed.toString();
            complaints.failed(monotonicMs(), "not written to " + shelf.folder(), why);
        }
    }

    private void write(long wallMs, Collector.Collected collected, boolean last) throws IOException {
        LearnedState learned = collected.learned();
        List<ServerStatistics> kept = heaviest(learned.servers());
        byte[] bytes = SnapshotFormat.encode(new Snapshot(
                version(),
                name,
                meaning,
                wallMs,
                new LearnedState(learned.serverCount(), learned.cluster(), learned.classes(), kept),
                collected.addresses()));
        // The last one is worth more than the bound.
        if (allowance.take(bytes.length, monotonicMs()) || last) {
            shelf.put(bytes);
            written += bytes.length;
            writings++;
            complaints.worked("writing to " + shelf.folder());
        }
    }

    /** Those that fit into a file of the bound: the ones that most is known of. */
    private List<ServerStatistics> heaviest(List<ServerStatistics> known) {
        long room = settings.mostSize() - REST;
        long all = 0;
        for (ServerStatistics server : known) {
            all += ROW + 4L * server.server().length() + 64;
        }
        if (all <= room) {
            return known;
        }
        int fit = (int) (known.size() * Math.max(0, room) / all);
        return known.stream()
                .sorted(Comparator.comparingDouble(
                        (ServerStatistics server) -> -server.latency().weight()))
                .limit(fit)
                .toList();
    }

    /** Has the last one written while open sessions are finished; returns as soon as the owner thread is done with. */
    void stopping() {
        stop.release();
        try {
            lastCollected.await(LAST_COLLECTING_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    void stopped() {
        stop.release();
        try {
            writer.join(LAST_WRITING_MS);
            shelf.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failed) {
            log.accept("the folder's lock was not closed: " + SnapshotFiles.reason(failed));
        }
        log.accept(writings + " written, " + written + " bytes; the longest pause by one was "
                + collector.longestNs() / 1_000 + " us");
    }

    static String version() {
        String version = Keeper.class.getPackage().getImplementationVersion();
        return version == null ? "(not packed)" : version;
    }

    private static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }
}
