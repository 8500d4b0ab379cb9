package peppergauge.snapshot.nonrepeatable;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import peppergauge.snapshot.storage.EventLog;
import peppergauge.snapshot.storage.FailureLog;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Records which non-repeatable requests were sent, so that none runs twice after a crash. One thread writes; entries
 * that arrive during a write are written together. A request that cannot be recorded must not be sent: while the disk
 * fails, recording fails at once, and writing is tried again from time to time. Thread-safe.
 */
public final class NonRepeatableJournal implements Closeable {

    /** Is notified, on the journal's thread, of what became of an entry. */
    public interface RecordListener {

        /** The entry is written: its request may be sent. */
        void onRecorded();

        /** The entry could not be written: its request must not be sent. */
        void onFailed();
    }

    /** An entry, and who awaits it, which may be null. */
    private record QueuedEntry(JournalEntry entry, RecordListener listener) {

        boolean isAwaited() {
            return listener != null;
        }
    }

    private static final QueuedEntry END = new QueuedEntry(null, null);
    private static final String READ_OPERATION = "read which requests may have run";
    private static final String RECORD_OPERATION = "record requests before they are sent";
    private static final long FINAL_WRITE_TIMEOUT_MS = 500;
    /** Time between attempts to write after a failure, each of which rewrites the whole journal. */
    private static final long RETRY_INTERVAL_MS = 250;

    private final JournalFile file;
    private final NonRepeatableIds ids = new NonRepeatableIds();
    /** Ids of the previous process; none before they are read, while {@link #isFailing}. */
    private volatile NonRepeatableIds mayHaveRunBefore = new NonRepeatableIds();

    private final SnapshotFiles files;
    private final EventLog log;
    private boolean isRead;
    private final boolean flushEachEntry;
    private final LongSupplier wallClockMs;
    private final FailureLog failureLog;
    private final BlockingQueue<QueuedEntry> queue = new LinkedBlockingQueue<>();
    private volatile boolean isFailing;
    /** When writing failed last, by {@link System#nanoTime}; only the writer thread uses it. */
    private long failedNanos;

    private final Thread writer = new Thread(this::write, "request journal");

    /**
     * Reads what the previous process recorded and starts the writer thread, which reads it later if that fails.
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
        this.files = files;
        this.log = log;
        this.file = new JournalFile(fileSystem, files, maxBytes);
        this.flushEachEntry = flushEachEntry;
        this.wallClockMs = wallClockMs;
        failureLog = new FailureLog(log, "request_journal_failed", "request_journal_recovered");
        tryRead();
        writer.setDaemon(true);
        writer.start();
    }

    /** Reads what the previous process recorded, unless that is done; nothing may be sent before. */
    private boolean tryRead() {
        if (isRead) {
            return true;
        }
        try {
            files.ensureLocked();
            String damage = file.read(ids);
            ids.removeExpired(wallClockMs.getAsLong());
            NonRepeatableIds known = new NonRepeatableIds();
            ids.newest(Long.MAX_VALUE).forEach(known::apply);
            mayHaveRunBefore = known;
            isRead = true;
            log.event(
                    "request_journal_read",
                    "file",
                    files.file(JournalFile.SUFFIX),
                    "rejected_ids",
                    ids.size(),
                    "damage",
                    damage == null ? "none" : damage);
            return true;
        } catch (IOException unreadable) {
            onFailure(READ_OPERATION, unreadable);
            return false;
        }
    }

    private void onFailure(String operation, IOException failed) {
        isFailing = true;
        failedNanos = System.nanoTime();
        failureLog.onFailure(wallClockMs.getAsLong(), operation, SnapshotFiles.describe(failed));
    }

    /** Returns whether a request with this id may have run in the previous process. */
    public boolean mayHaveRun(String id) {
        return mayHaveRunBefore.contains(id);
    }

    /** Whether requests cannot be recorded at present, and must not be sent. */
    public boolean isFailing() {
        return isFailing;
    }

    /**
     * Records that a non-repeatable request is about to be sent.
     *
     * @param listener is notified whether the request may be sent
     */
    public void recordSent(String id, RecordListener listener) {
        queue.add(new QueuedEntry(new JournalEntry(JournalEntry.Kind.SENT, id, wallClockMs.getAsLong()), listener));
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
                // While writing fails, it is also tried without new entries, since none may come until it works.
                QueuedEntry first = isFailing ? queue.poll(RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS) : queue.take();
                if (first != null) {
                    batch.add(first);
                }
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
        entries.forEach(ids::apply);
        boolean isRecorded = false;
        try {
            isRecorded = tryWrite(entries, batch.stream().anyMatch(QueuedEntry::isAwaited));
        } finally {
            for (QueuedEntry entry : batch) {
                notifyListener(entry, isRecorded);
            }
        }
    }

    /** Returns whether the entries are written; after a failure, nothing is tried for a while. */
    private boolean tryWrite(List<JournalEntry> entries, boolean isAwaited) {
        if (isFailing && System.nanoTime() - failedNanos < TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MS)) {
            return false;
        }
        if (!tryRead()) {
            return false;
        }
        if (entries.isEmpty() && !isFailing) {
            return true;
        }
        try {
            // Ends are not flushed: if one is lost, a repeated id is rejected, which is safe.
            file.append(entries, ids, flushEachEntry && isAwaited, wallClockMs.getAsLong());
            isFailing = false;
            failureLog.onSuccess(RECORD_OPERATION);
            return true;
        } catch (IOException failed) {
            onFailure(RECORD_OPERATION, failed);
            return false;
        }
    }

    private void notifyListener(QueuedEntry entry, boolean isRecorded) {
        if (!entry.isAwaited()) {
            return;
        }
        if (isRecorded) {
            entry.listener().onRecorded();
        } else {
            entry.listener().onFailed();
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
