package peppergauge.bodies;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import peppergauge.bodies.ledger.StorageLimits;
import peppergauge.bodies.limits.WindowAllocator;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** The section {@code [bodies]} of operator files: limits of bodies over 64 KiB. */
public final class BodiesSection implements Section {

    private static final long KIB = 1 << 10;
    private static final long MIB = 1 << 20;
    private static final long TIB = 1L << 40;
    /** Shorter bodies are held by their messages and are not large bodies. */
    private static final long MIN_LARGE_BODY_BYTES = 64 * KIB;

    private static final Key<Long> LONGEST_REQUEST = Key.preset(
            "longest-request",
            Types.size(MIN_LARGE_BODY_BYTES, TIB),
            "\"1 GiB\"",
            "Longest body of a request; a longer one is refused (413) before it is read.");
    private static final Key<Long> LONGEST_ANSWER = Key.preset(
            "longest-answer",
            Types.size(MIN_LARGE_BODY_BYTES, TIB),
            "\"16 GiB\"",
            "Longest body of an answer; one that goes on is cut off there.");
    private static final Key<Long> WINDOW = Key.preset(
            "window",
            Types.size(WindowAllocator.MIN_WINDOW_BYTES, 16 * MIB),
            "\"64 KiB\"",
            "Bytes of one body that stand in memory between its two ends; 64 KiB come in any case.");
    private static final Key<Long> WINDOWS = Key.preset(
            "windows",
            Types.size(WindowAllocator.MIN_WINDOW_BYTES, TIB),
            "\"16 MiB\"",
            "The same of all bodies; with many, each one's window shrinks, to 16 KiB at the least.");
    private static final Key<Long> SOCKET_BUFFER = Key.preset(
            "socket-buffer",
            Types.size(0, 64 * MIB),
            "\"128 KiB\"",
            "Bytes that the kernel may hold of a body on each connection and way; 0 B leaves that to it. A slow end"
                    + " shows in steps of a third of this: who takes less than that in rate-over counts as stopped.");
    private static final Key<Long> MEMORY_EACH = Key.preset(
            "memory-each",
            Types.size(0, TIB),
            "\"256 KiB\"",
            "Body of a request that is kept for retries in memory; 0 B for none.");
    private static final Key<Long> MEMORY =
            Key.preset("memory", Types.size(0, TIB), "\"16 MiB\"", "The same of all bodies.");
    private static final Key<String> FOLDER = Key.optional(
            "folder",
            Types.text(1, 4_000),
            "\"/var/tmp/peppergauge\"",
            "Folder for bodies that are too long for memory, for this sidecar alone (0700); made if it is missing."
                    + " Without one no body is kept in a file.");
    private static final Key<Long> FILE_EACH = Key.preset(
            "file-each", Types.size(0, TIB), "\"64 MiB\"", "Body of a request that is kept for retries in a file.");
    private static final Key<Long> FILES =
            Key.preset("files", Types.size(0, TIB), "\"1 GiB\"", "The same of all bodies.");
    private static final Key<Long> MOST_FILES =
            Key.preset("most-files", Types.wholeNumber(0, 100_000), "64", "Files at once; each takes a descriptor.");
    private static final Key<Double> SHARE = Key.preset(
            "share",
            Types.number(0.01, 1),
            "0.5",
            "Part of memory or files that one tenant or one class may hold once they are nearly full.");
    private static final Key<List<String>> KEPT_ONLY = Key.preset(
            "kept-only",
            Types.listOf(Types.text(1, 80), 0, 64),
            "[]",
            "Classes whose long bodies are refused (503) where they cannot be kept; others are then passed on"
                    + " once, as they come.");
    private static final Key<Long> LEAST_RATE = Key.preset(
            "least-rate",
            Types.size(1, 16 * MIB),
            "\"256 B\"",
            "Bytes a second that each end must move while it is its turn; else the body is cut off.");
    private static final Key<Duration> RATE_OVER = Key.preset(
            "rate-over",
            Types.duration(Duration.ofMillis(100), Duration.ofHours(1)),
            "\"30 s\"",
            "Over how much of its turn that is taken.");
    private static final Key<Duration> FINISH = Key.preset(
            "finish",
            Types.duration(Duration.ZERO, Duration.ofHours(1)),
            "\"30 s\"",
            "How long bodies that are under way may take after SIGTERM.");

    public static final Table TABLE = Table.optional(
            "bodies",
            "Bodies over 64 KiB: passed on as they come, those of"
                    + " requests kept for retries. Left out: none are taken.",
            LONGEST_REQUEST,
            LONGEST_ANSWER,
            WINDOW,
            WINDOWS,
            SOCKET_BUFFER,
            MEMORY_EACH,
            MEMORY,
            FOLDER,
            FILE_EACH,
            FILES,
            MOST_FILES,
            SHARE,
            KEPT_ONLY,
            LEAST_RATE,
            RATE_OVER,
            FINISH);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        file.find(TABLE).ifPresent(table -> {
            requireNotLarger(table, WINDOW, WINDOWS, problems);
            requireNotLarger(table, MEMORY_EACH, MEMORY, problems);
            requireNotLarger(table, FILE_EACH, FILES, problems);
        });
    }

    private static void requireNotLarger(Values table, Key<Long> perBody, Key<Long> total, Problems problems) {
        if (table.get(perBody) > table.get(total)) {
            problems.add(table.place(perBody), "bodies." + perBody.name(), "must not be larger than " + total.name());
        }
    }

    /**
     * Reads the settings.
     *
     * @param table the section of a file, which was checked
     */
    public static BodiesSettings settings(Values table) {
        Optional<Path> directory = table.find(FOLDER).map(Path::of);
        boolean usesFiles = directory.isPresent();
        StorageLimits storage = new StorageLimits(
                table.get(LONGEST_REQUEST),
                table.get(MEMORY_EACH),
                table.get(MEMORY),
                usesFiles ? table.get(FILE_EACH) : 0,
                usesFiles ? table.get(FILES) : 0,
                usesFiles ? table.get(MOST_FILES).intValue() : 0,
                table.get(SHARE));
        return new BodiesSettings(
                table.get(LONGEST_REQUEST),
                table.get(LONGEST_ANSWER),
                table.get(WINDOW),
                table.get(WINDOWS),
                table.get(SOCKET_BUFFER).intValue(),
                storage,
                directory,
                table.get(KEPT_ONLY),
                table.get(LEAST_RATE),
                table.get(RATE_OVER),
                table.get(FINISH));
    }
}
