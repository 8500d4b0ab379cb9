package peppergauge.snapshot;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;
import peppergauge.snapshot.storage.ByteRateLimiter;
import peppergauge.snapshot.storage.EventLog;
import peppergauge.snapshot.storage.FailureLog;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Writes snapshots periodically and once at the end, on a thread of its own. A failed write is retried after the next
 * interval.
 */
final class SnapshotWriter {

    /** How long a stop waits until the final state is collected. */
    private static final long FINAL_COLLECT_TIMEOUT_MS = 100;
    /** How long a stop waits until the final snapshot is written. */
    private static final long FINAL_WRITE_TIMEOUT_MS = 500;
    /** Upper bound of the size of a server's row without its id and address. */
    private static final int MAX_ROW_BYTES = 120;
    /** Size of a server's address that is assumed when the number of servers that fit into a file is estimated. */
    private static final int ESTIMATED_ADDRESS_BYTES = 64;

    private static final int MAX_UTF8_BYTES_PER_CHAR = 4;
    /** Upper bound of the size of a file without the servers' rows. */
    private static final int MAX_HEADER_BYTES = 8_000;

    private final SnapshotSettings settings;
    private final String name;
    private final String settingsDigest;
    private final StateCollector collector;
    private final SnapshotFiles files;
    private final ByteRateLimiter byteRateLimit;
    private final FailureLog failureLog;
    private final EventLog log;
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
            EventLog log) {
        this.settings = settings;
        this.name = name;
        this.settingsDigest = settingsDigest;
        this.collector = collector;
        this.files = files;
        this.log = log;
        byteRateLimit = new ByteRateLimiter(settings.maxBytesPerMinute(), monotonicMs());
        failureLog = new FailureLog(log, "snapshot_write_failed", "snapshot_write_recovered");
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
            // Read before the state is collected, so that the snapshot never seems younger than it is.
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
                    : failed instanceof TimeoutException ? "the owner thread is too busy" : failed.toString();
            failureLog.onFailure(monotonicMs(), writeOperation(), reason);
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
        // The rate limit does not apply to the final snapshot.
        if (byteRateLimit.tryAcquire(bytes.length, monotonicMs()) || isFinal) {
            files.put(bytes);
            writtenBytes += bytes.length;
            writtenSnapshots++;
            failureLog.onSuccess(writeOperation());
        }
    }

    private String writeOperation() {
        return "write to " + files.folder();
    }

    /** Returns the servers that fit into a file of the size limit, those with the most observations first. */
    private List<ServerStatistics> mostObserved(List<ServerStatistics> servers) {
        long capacityBytes = settings.maxFileBytes() - MAX_HEADER_BYTES;
        long neededBytes = 0;
        for (ServerStatistics server : servers) {
            neededBytes += MAX_ROW_BYTES
                    + (long) MAX_UTF8_BYTES_PER_CHAR * server.server().length()
                    + ESTIMATED_ADDRESS_BYTES;
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

    /**
     * Starts the final snapshot. Returns when the state is collected from the owner thread, at the latest after
     * {@value #FINAL_COLLECT_TIMEOUT_MS} ms.
     */
    void writeFinalSnapshot() {
        stop.release();
        try {
            finalStateCollected.await(FINAL_COLLECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits at most {@value #FINAL_WRITE_TIMEOUT_MS} ms until the final snapshot is written, and releases the files.
     */
    void awaitEnd() {
        stop.release();
        try {
            writer.join(FINAL_WRITE_TIMEOUT_MS);
            files.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failed) {
            log.event("snapshot_lock_not_released", "folder", files.folder(), "reason", SnapshotFiles.describe(failed));
        }
        log.event(
                "snapshot_writer_stopped",
                "snapshots",
                writtenSnapshots,
                "bytes",
                writtenBytes,
                "longest_task_us",
                collector.longestTaskNanos() / 1_000);
    }

    static String version() {
        String version = SnapshotWriter.class.getPackage().getImplementationVersion();
        return version == null ? "(not packed)" : version;
    }

    private static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }
}
