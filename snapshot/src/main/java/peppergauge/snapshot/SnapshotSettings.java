package peppergauge.snapshot;

import java.nio.file.Path;
import java.time.Duration;

/**
 * How a sidecar keeps what it learned.
 *
 * @param folder for this user alone; made if only the folder itself is missing
 * @param every from the end of a writing to the next
 * @param mostSize of one file, in bytes
 * @param mostPerMinute bytes written in a minute
 * @param mostAge older snapshots are not used
 * @param journalSize bytes of the journal of non-repeatable requests
 */
public record SnapshotSettings(
        Path folder,
        Duration every,
        long mostSize,
        long mostPerMinute,
        Duration mostAge,
        JournalMode journalMode,
        long journalSize) {

    /** What is done so that a non-repeatable request which was under way at a crash does not run twice. */
    public enum JournalMode {
        /** Nothing. */
        OFF,
        /** Each is written before it is sent: outlives the process. */
        WRITTEN,
        /** Each is flushed before it is sent: outlives the machine. */
        FLUSHED
    }
}
