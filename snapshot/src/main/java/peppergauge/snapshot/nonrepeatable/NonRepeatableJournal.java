package peppergauge.snapshot.nonrepeatable;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import peppergauge.snapshot.storage.FailureLog;
import peppergauge.snapshot.storage.FileSystem;
import peppergauge.snapshot.storage.SnapshotFiles;

/**
 * Which non-repeatable requests were sent, kept over a crash. One thread writes; what comes in while it writes goes out
 * together, so that a flush serves many. If the disk fails, such requests go on without this guard.
 */
public final class NonRepeatableJournal implements Closeable {

    /** An entry and who waits until it is written; null if nobody does. */
    private record Waiting(Entry entry, Runnable written) {}

    /** Begins each of its lines for the people on call. */
    private static final String SUBJECT = "non-repeatable requests: ";

    private static final Waiting END = new Waiting(null, null);
    private static final long LAST_WRITE_MS = 500;
    /** A disk that failed is tried again after this time: each try writes the journal anew. */
    private static final long TRY_AGAIN_MS = 1_000;

    private final JournalFile file;
    private final Ledger ledger = new Ledger();
    private final Ledger underWayAtCrash = new Ledger();
    private final boolean flush;
    private final LongSupplier wallMs;
    private final FailureLog complaints;
    private final BlockingQueue<Waiting> queue = new LinkedBlockingQueue<>();
    private long failedMs = Long.MIN_VALUE / 2;
    private final Thread writer = new Thread(this::write, "request journal");

    /**
     * Reads what the process before this one left.
     *
     * @param mostBytes that the file may have
     * @param flush whether each entry is on the disk, not only with the operating system, before its request is sent
     * @param wallMs the wall clock, ms since 1970
     * @param log takes lines for the people on call
     */
    public NonRepeatableJournal(
            FileSystem disk,
            SnapshotFiles shelf,
            long mostBytes,
            boolean flush,
            LongSupplier wallMs,
            Consumer<String> log) {
        this.file = new JournalFile(disk, shelf, mostBytes);
        this.flush = flush;
        this.wallMs = wallMs;
        complaints = new FailureLog(log);
        String wrong = file.read(ledger);
        ledger.forgetOld(wallMs.getAsLong());
        ledger.newest(Long.MAX_VALUE).forEach(underWayAtCrash::tell);
        log.accept(SUBJECT + ledger.size() + " ids of the process before are answered as failed"
                + (wrong == null ? "" : "; " + shelf.file(JournalFile.SUFFIX) + ": " + wrong));
        writer.setDaemon(true);
        writer.start();
    }

    /** Whether this id may have run in the process before. From any thread. */
    public boolean mayHaveRun(String id) {
        return underWayAtCrash.holds(id);
    }

    /**
     * A non-repeatable request is to be sent; {@code written} is run on the journal's thread, as soon as that may be.
     */
    public void sent(String id, Runnable written) {
        queue.add(new Waiting(new Entry(Entry.Kind.SENT, id, wallMs.getAsLong()), written));
    }

    /** It ended, whatever came of it; {@code neverRan} if it is proved that no server worked on it. */
    public void ended(String id, boolean neverRan) {
        queue.add(new Waiting(
                new Entry(neverRan ? Entry.Kind.NEVER_RAN : Entry.Kind.ENDED, id, wallMs.getAsLong()), null));
    }

    private void write() {
        List<Waiting> batch = new ArrayList<>();
        try {
            while (!batch.contains(END)) {
                batch.clear();
                batch.add(queue.take());
                queue.drainTo(batch);
                write(batch.stream().filter(waiting -> waiting != END).toList());
            }
            file.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failed) {
            complaints.failed(wallMs.getAsLong(), SUBJECT + "the journal did not close", SnapshotFiles.reason(failed));
        }
    }

    private void write(List<Waiting> batch) {
        assert Thread.currentThread() == writer : "the ledger is the writer's alone";
        List<Entry> entries = batch.stream().map(Waiting::entry).toList();
        long now = wallMs.getAsLong();
        entries.forEach(ledger::tell);
        try {
            // An end that is lost to a power cut makes an id fail once more, which is harmless: no flush for it.
            boolean awaited = batch.stream().anyMatch(waiting -> waiting.written() != null);
            if (!entries.isEmpty() && Math.abs(now - failedMs) >= TRY_AGAIN_MS) {
                file.append(entries, ledger, flush && awaited, now);
                complaints.worked(SUBJECT + "the journal");
            }
        } catch (IOException failed) {
            failedMs = now;
            complaints.failed(
                    now, SUBJECT + "sent without a guard against running twice", SnapshotFiles.reason(failed));
        } finally {
            batch.stream()
                    .map(Waiting::written)
                    .filter(written -> written != null)
                    .forEach(Runnable::run);
        }
    }

    /** Writes what is queued and ends; waits for that for half a second at the most. */
    @Override
    public void close() {
        queue.add(END);
        try {
            writer.join(LAST_WRITE_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
