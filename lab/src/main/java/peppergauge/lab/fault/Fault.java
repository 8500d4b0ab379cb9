package peppergauge.lab.fault;

import java.time.Duration;
import java.util.Optional;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * One {@code [[fault]]}.
 *
 * @param time when it begins, from the start of the load
 * @param target a process such as {@code sidecar-1}, or a link such as {@code sidecar-1>discovery}; {@code *} stands
 *         for any characters
 * @param length until it is healed
 * @param size how much, where the kind has a size
 */
public record Fault(Duration time, FaultKind what, String target, Duration length, Optional<Double> size) {

    /** No script runs forever. */
    private static final Duration MAX_DURATION = Duration.ofHours(1);

    static final Key<Duration> TIME = Key.required(
            "time", Types.duration(Duration.ZERO, MAX_DURATION), "\"3 s\"",
                    "When it begins, from the start of the load.");
    static final Key<FaultKind> WHAT = Key.required(
            "what", Types.oneOf(FaultKind.class), "\"drop\"", "What goes wrong; docs/RIG.md says what each one does.");
    static final Key<String> TARGET = Key.required(
            "target",
            Types.text(1, 100),
            "\"sidecar-1>discovery\"",
            "A process or a link FROM>TO; * stands for any characters.");
    static final Key<Duration> LENGTH =
            Key.preset("length", Types.duration(Duration.ofMillis(1), MAX_DURATION), "\"1 s\"", "Until it is healed.");
    static final Key<Double> SIZE = Key.optional(
            "size", Types.number(1, 1_000_000), "100", "For slow: bytes a second; for delay and accept-late: ms.");

    /** In a file. */
    public static final Table TABLE = Table.repeated(
            "fault", 0, 1_000, "Something that goes wrong between processes.", TIME, WHAT, TARGET, LENGTH, SIZE);

    /** When it is healed, from the start of the load. */
    public Duration end() {
        return time.plus(length);
    }

    /** Whether this name is meant. */
    public boolean matchesTarget(String name) {
        return TopologyNames.matches(target, name);
    }

    /** Whether both go on at some moment. */
    boolean overlaps(Fault other) {
        return time.compareTo(other.end()) <= 0 && other.time.compareTo(end()) <= 0;
    }

    /** The same, over earlier. */
    Fault withLength(Duration shorter) {
        return new Fault(time, what, target, shorter, size);
    }

    /** On one line, for people. */
    public String describe() {
        return what.written() + " " + target + " at " + time.toMillis() + " ms for " + length.toMillis() + " ms"
                + size.map(much -> ", " + much).orElse("");
    }
}
