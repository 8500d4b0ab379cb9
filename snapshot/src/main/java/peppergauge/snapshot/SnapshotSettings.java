package peppergauge.snapshot;

import java.nio.file.Path;
import java.time.Duration;

/**
 * How a sidecar keeps what it learned.
 *
 * @param folder private to this user; created if only the folder itself is missing
 * @param interval from the end of a write to the next
 * @param maxFileBytes size of one file
 * @param maxBytesPerMinute bytes written in a minute
 * @param maxAge older snapshots are not used
 * @param journalMode how the journal of non-repeatable requests is written
 * @param maxJournalBytes size of that journal
 */
public record SnapshotSettings(
        Path folder,
        Duration interval,
        long maxFileBytes,
        long maxBytesPerMinute,
        Duration maxAge,
        JournalMode journalMode,
        long maxJournalBytes) {

    /** How non-repeatable requests that are under way are journaled, so that none runs twice after a crash. */
    public enum JournalMode {
        /** No journal. */
        OFF,
        /** Written before a request is sent: survives the process. */
        WRITTEN,
        /** Flushed to disk before a request is sent: survives the machine. */
        FLUSHED
    }
}
