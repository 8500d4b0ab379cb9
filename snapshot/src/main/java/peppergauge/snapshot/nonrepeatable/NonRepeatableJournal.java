package peppergauge.snapshot.nonrepeatable;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.LongSupplier;
import peppergauge.snapshot.storage.EventLog;
import peppergauge.snapshot.storage.FailureLog;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Records which non-repeatable requests were sent, so that none runs twice after a crash. One thread writes; entries
 * that arrive during a write are written together. If the disk fails, requests are sent unrecorded and may run twice
 * after a crash. Thread-safe.
 */
public final class NonRepeatableJournal implements Closeable {

    /** An entry, and a callback to run when it is written, which may be null. */
    private record QueuedEntry(JournalEntry entry, Runnable onWritten) {}

    private static final QueuedEntry END = new QueuedEntry(null, null);
    private static final String RECORD_OPERATION = "record requests before they are sent";
    private static final long FINAL_WRITE_TIMEOUT_MS = 500;
    /** Time between attempts to write after a failure, each of which rewrites the whole journal. */
    private static final long RETRY_INTERVAL_MS = 1_000;

    private final JournalFile file;
    private final NonRepeatableIds ids = new NonRepeatableIds();
    private final NonRepeatableIds mayHaveRunBefore = new NonRepeatableIds();
    private final boolean flushEachEntry;
    private final LongSupplier wallClockMs;
    private final FailureLog failureLog;
    private final BlockingQueue<QueuedEntry> queue = new LinkedBlockingQueue<>();
    private long failedMs = Long.MIN_VALUE / 2;
    private final Thread writer = new Thread(this::write, "request journal");

    /**
     * Reads what the previous process recorded and starts the writer thread.
     *
     * @param maxBytes size limit of the file
     * @param flushEachEntry whether an entry is flushed to disk before its request is sent
     * @param wallClockMs wall clock, ms since 1970
     * @param log receives log events
     */
    public NonRepeatableJournal(
            FileSystem fileSystem,
            SnapshotFiles files,
            long maxBytes,
            boolean flushEachEntry,
            LongSupplier wallClockMs,
            EventLog log) {
        this.file = new JournalFile(fileSystem, files, maxBytes);
        this.flushEachEntry = flushEachEntry;
        this.wallClockMs = wallClockMs;
        failureLog = new FailureLog(log, "request_journal_failed", "request_journal_recovered");
        String damage = file.read(ids);
        ids.removeExpired(wallClockMs.getAsLong());
        ids.newest(Long.MAX_VALUE).forEach(mayHaveRunBefore::apply);
        log.event(
                "request_journal_read",
                "file",
                files.file(JournalFile.SUFFIX),
                "rejected_ids",
                ids.size(),
                "damage",
                damage == null ? "none" : damage);
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns whether a request with this id may have run in the previous process. */
    public boolean mayHaveRun(String id) {
        return mayHaveRunBefore.contains(id);
    }

    /**
     * Records that a non-repeatable request is about to be sent.
     *
     * @param onWritten callback that runs on the journal's thread when the request may be sent
     */
    public void recordSent(String id, Runnable onWritten) {
        queue.add(new QueuedEntry(new JournalEntry(JournalEntry.Kind.SENT, id, wallClockMs.getAsLong()), onWritten));
    }

    /**
     * Records that a request ended.
     *
     * @param neverRan whether it is proved that no server executed it
     */
    public void recordEnded(String id, boolean neverRan) {
        queue.add(new QueuedEntry(
                new JournalEntry(
                        neverRan ? JournalEntry.Kind.NEVER_RAN : JournalEntry.Kind.ENDED, id, wallClockMs.getAsLong()),
                null));
    }

    private void write() {
        List<QueuedEntry> batch = new ArrayList<>();
        try {
            while (!batch.contains(END)) {
                batch.clear();
                batch.add(queue.take());
                queue.drainTo(batch);
                write(batch.stream().filter(entry -> entry != END).toList());
            }
            file.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failed) {
            failureLog.onFailure(wallClockMs.getAsLong(), "close the journal", SnapshotFiles.describe(failed));
        }
    }

    private void write(List<QueuedEntry> batch) {
        assert Thread.currentThread() == writer : "only the writer thread may use the ids";
        List<JournalEntry> entries = batch.stream().map(QueuedEntry::entry).toList();
        long now = wallClockMs.getAsLong();
        entries.forEach(ids::apply);
        try {
            // Ends are not flushed: if one is lost, a repeated id is rejected, which is safe.
            boolean awaited = batch.stream().anyMatch(entry -> entry.onWritten() != null);
            if (!entries.isEmpty() && Math.abs(now - failedMs) >= RETRY_INTERVAL_MS) {
                file.append(entries, ids, flushEachEntry && awaited, now);
                failureLog.onSuccess(RECORD_OPERATION);
            }
        } catch (IOException failed) {
            failedMs = now;
            failureLog.onFailure(now, RECORD_OPERATION, SnapshotFiles.describe(failed));
        } finally {
            batch.stream()
                    .map(QueuedEntry::onWritten)
                    .filter(callback -> callback != null)
                    .forEach(Runnable::run);
        }
    }

    /** Writes the queued entries and stops; waits at most {@value #FINAL_WRITE_TIMEOUT_MS} ms. */
    @Override
    public void close() {
        queue.add(END);
        try {
            writer.join(FINAL_WRITE_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
