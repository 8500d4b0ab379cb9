package peppergauge.lab.fault;

import java.time.Duration;
import java.util.Optional;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * A fault in a rig file, from one {@code [[fault]]} table.
 *
 * @param time when the fault begins, from the start of the load
 * @param what kind of the fault
 * @param target a process such as {@code sidecar-1}, or a link such as {@code sidecar-1>discovery}; {@code *} stands
 *         for any characters
 * @param length how long the fault is in effect
 * @param size magnitude of the fault, for kinds that have one
 */
public record ScheduledFault(Duration time, FaultKind what, String target, Duration length, Optional<Double> size) {

    private static final Duration MAX_DURATION = Duration.ofHours(1);

    static final Key<Duration> TIME = Key.required(
            "time",
            Types.duration(Duration.ZERO, MAX_DURATION),
            "\"3 s\"",
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

    /** Describes the {@code [[fault]]} table in operator files. */
    public static final Table TABLE = Table.repeated(
            "fault", 0, 1_000, "Something that goes wrong between processes.", TIME, WHAT, TARGET, LENGTH, SIZE);

    /** Returns the time at which the fault ends, from the start of the load. */
    public Duration end() {
        return time.plus(length);
    }

    /** Returns whether the fault applies to the process or link with this name. */
    public boolean matchesTarget(String name) {
        return TopologyNames.matches(target, name);
    }

    /** Returns whether both faults are in effect at some moment. */
    boolean overlaps(ScheduledFault other) {
        return time.compareTo(other.end()) <= 0 && other.time.compareTo(end()) <= 0;
    }

    /** Returns the same fault with another duration. */
    ScheduledFault withLength(Duration shorter) {
        return new ScheduledFault(time, what, target, shorter, size);
    }

    /** Returns a description on one line for reports. */
    public String describe() {
        return what.written() + " " + target + " at " + time.toMillis() + " ms for " + length.toMillis() + " ms"
                + size.map(much -> ", " + much).orElse("");
    }
}
