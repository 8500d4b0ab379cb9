package peppergauge.snapshot;

import java.nio.file.Path;
import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;
import peppergauge.snapshot.SnapshotSettings.JournalMode;

/** Schema of {@code [snapshot]}: where and how learned state is persisted across restarts. */
public final class SnapshotSection implements Section {

    private static final Key<String> FOLDER = Key.required(
            "folder",
            Types.text(1, 4_000),
            "\"/var/lib/peppergauge\"",
            "Folder that outlives the sidecar, for its user alone (0700); made if only it"
                    + " itself is missing. Several sidecars may share it.");
    private static final Key<Duration> EVERY = Key.preset(
            "every",
            Types.duration(Duration.ofMillis(100), Duration.ofHours(1)),
            "\"1 s\"",
            "Pause between two writings. What was learned halves in 5 s, so more than 10 s keeps little.");
    private static final Key<Long> MOST_SIZE = Key.preset(
            "most-size",
            Types.size(64 << 10, 64 << 20),
            "\"4 MiB\"",
            "Largest file written or read; a server takes some 150 B.");
    private static final Key<Long> MOST_PER_MINUTE = Key.preset(
            "most-per-minute",
            Types.size(64 << 10, 1 << 30),
            "\"16 MiB\"",
            "Bytes of snapshots written in a minute; a writing that would exceed it is left out.");
    private static final Key<Duration> MOST_AGE = Key.preset(
            "most-age",
            Types.duration(Duration.ofSeconds(1), Duration.ofHours(2)),
            "\"2 h\"",
            "Older snapshots are not used.");
    private static final Key<JournalMode> JOURNAL = Key.preset(
            "donations",
            Types.oneOf(JournalMode.class),
            "\"off\"",
            "Journal of requests that must not run twice and are under way: none, written (outlives the process), or"
                    + " flushed before each is sent (outlives the machine, and costs a flush).");
    private static final Key<Long> JOURNAL_SIZE =
            Key.preset("journal-size", Types.size(64 << 10, 64 << 20), "\"4 MiB\"", "Bound of that journal.");

    public static final Table TABLE = Table.optional(
            "snapshot",
            "Keeps what was learned over a restart. Left out: nothing is kept.",
            FOLDER,
            EVERY,
            MOST_SIZE,
            MOST_PER_MINUTE,
            MOST_AGE,
            JOURNAL,
            JOURNAL_SIZE);

    @Override
    public Table table() {
        return TABLE;
    }

    /**
     * Reads the settings.
     *
     * @param table the section {@code [snapshot]} of an operator file
     */
    public static SnapshotSettings settings(Values table) {
        return new SnapshotSettings(
                Path.of(table.get(FOLDER)),
                table.get(EVERY),
                table.get(MOST_SIZE),
                table.get(MOST_PER_MINUTE),
                table.get(MOST_AGE),
                table.get(JOURNAL),
                table.get(JOURNAL_SIZE));
    }
}
