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
import peppergauge.snapshot.storage.ByteRateLimiter;
import peppergauge.snapshot.storage.FailureLog;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Writes snapshots periodically, and once more at the end, on a thread of its own. Failed writes are retried at the
 * next turn.
 */
final class SnapshotWriter {

    /** How long a stop waits for the final state, and then for the disk. */
    private static final long FINAL_COLLECT_TIMEOUT_MS = 100;

    private static final long FINAL_WRITE_TIMEOUT_MS = 500;
    /** Size bounds of one server's row without its names, and of the rest of the file. */
    private static final int MAX_ROW_BYTES = 120;

    private static final int MAX_HEADER_BYTES = 8_000;

    private final SnapshotSettings settings;
    private final String name;
    private final String settingsDigest;
    private final StateCollector collector;
    private final SnapshotFiles files;
    private final ByteRateLimiter byteRateLimit;
    private final FailureLog failureLog;
    private final Consumer<String> log;
    private final Semaphore stop = new Semaphore(0);
    private final CountDownLatch finalStateCollected = new CountDownLatch(1);
    private final Thread writer = new Thread(this::run, "snapshot");
    private volatile long writtenBytes;
    private volatile int writtenSnapshots;

    SnapshotWriter(
            SnapshotSettings settings,
            String name,
            String settingsDigest,
            StateCollector collector,
            SnapshotFiles files,
            Consumer<String> log) {
        this.settings = settings;
        this.name = name;
        this.settingsDigest = settingsDigest;
        this.collector = collector;
        this.files = files;
        this.log = log;
        byteRateLimit = new ByteRateLimiter(settings.maxBytesPerMinute(), monotonicMs());
        failureLog = new FailureLog(log);
        writer.setDaemon(true);
    }

    void start() {
        writer.start();
    }

    private void run() {
        try {
            boolean isFinal = false;
            while (!isFinal) {
                isFinal = stop.tryAcquire(settings.interval().toMillis(), TimeUnit.MILLISECONDS);
                collectAndWrite(isFinal);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void collectAndWrite(boolean isFinal) throws InterruptedException {
        try {
            // Taken before the state, so that the snapshot never seems younger than it is.
            long wallMs = System.currentTimeMillis();
            StateCollector.CollectedState collected = collector.collect();
            if (isFinal) {
                finalStateCollected.countDown();
            }
            if (collected.state().cluster() != null
                    && collected.state().cluster().latency().weight() > 0) {
                write(wallMs, collected, isFinal);
            }
        } catch (TimeoutException | IOException | RuntimeException failed) {
            String reason = failed instanceof IOException broken
                    ? SnapshotFiles.describe(broken)
                    : failed instanceof TimeoutException ? "the sidecar is too busy" : failed.toString();
            failureLog.onFailure(monotonicMs(), "not written to " + files.folder(), reason);
        }
    }

    private void write(long wallMs, StateCollector.CollectedState collected, boolean isFinal) throws IOException {
        LearnedState state = collected.state();
        List<ServerStatistics> servers = mostObserved(state.servers());
        byte[] bytes = SnapshotFormat.encode(new Snapshot(
                version(),
                name,
                settingsDigest,
                wallMs,
                new LearnedState(state.serverCount(), state.cluster(), state.classes(), servers),
                collected.addresses()));
        // The final snapshot is written whatever the rate limit says.
        if (byteRateLimit.tryAcquire(bytes.length, monotonicMs()) || isFinal) {
            files.put(bytes);
            writtenBytes += bytes.length;
            writtenSnapshots++;
            failureLog.onSuccess("writing to " + files.folder());
        }
    }

    /** Returns the servers that fit into a file of the size limit, those with the most observations first. */
    private List<ServerStatistics> mostObserved(List<ServerStatistics> servers) {
        long capacityBytes = settings.maxFileBytes() - MAX_HEADER_BYTES;
        long neededBytes = 0;
        for (ServerStatistics server : servers) {
            neededBytes += MAX_ROW_BYTES + 4L * server.server().length() + 64;
        }
        if (neededBytes <= capacityBytes) {
            return servers;
        }
        int fitting = (int) (servers.size() * Math.max(0, capacityBytes) / neededBytes);
        return servers.stream()
                .sorted(Comparator.comparingDouble(
                        (ServerStatistics server) -> -server.latency().weight()))
                .limit(fitting)
                .toList();
    }

    /** Starts the final snapshot; returns once the state was collected from the owner thread. */
    void writeFinalSnapshot() {
        stop.release();
        try {
            finalStateCollected.await(FINAL_COLLECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until the final snapshot is written, {@value #FINAL_WRITE_TIMEOUT_MS} ms at most, and releases the files.
     */
    void awaitEnd() {
        stop.release();
        try {
            writer.join(FINAL_WRITE_TIMEOUT_MS);
            files.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failed) {
            log.accept("the folder's lock was not closed: " + SnapshotFiles.describe(failed));
        }
        log.accept(writtenSnapshots + " written, " + writtenBytes + " bytes; the longest pause by one was "
                + collector.longestTaskNanos() / 1_000 + " us");
    }

    static String version() {
        String version = SnapshotWriter.class.getPackage().getImplementationVersion();
        return version == null ? "(not packed)" : version;
    }

    private static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }
}
