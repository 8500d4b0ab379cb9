package peppergauge.snapshot;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Configuration of snapshots and of the journal of non-repeatable requests.
 *
 * @param folder folder of the files, private to this user; created if its parent exists
 * @param interval time from the end of one snapshot write to the start of the next
 * @param maxFileBytes maximum size of a snapshot file
 * @param maxBytesPerMinute maximum number of snapshot bytes written in a minute
 * @param maxAge age from which on a snapshot is not restored
 * @param journalMode how the journal of non-repeatable requests is written
 * @param maxJournalBytes maximum size of the journal
 */
public record SnapshotSettings(
        Path folder,
        Duration interval,
        long maxFileBytes,
        long maxBytesPerMinute,
        Duration maxAge,
        JournalMode journalMode,
        long maxJournalBytes) {

    /** How non-repeatable requests in flight are journaled, so that none runs twice after a crash. */
    public enum JournalMode {
        /** No journal. */
        OFF,
        /** An entry is written before its request is sent and survives a crash of the process. */
        WRITTEN,
        /** An entry is flushed to disk before its request is sent and survives a crash of the machine. */
        FLUSHED
    }
}
