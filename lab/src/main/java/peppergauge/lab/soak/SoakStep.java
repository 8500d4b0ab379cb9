package peppergauge.lab.soak;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * One {@code [[step]]}.
 *
 * @param time when it begins, from the start of the load; at the end: from SIGTERM
 * @param length until it is over
 * @param count how many, of connections or clients
 */
public record SoakStep(Duration time, StepKind what, Duration length, long count) {

    private static final Duration MAX_DURATION = Duration.ofMinutes(10);

    private static final Key<Duration> TIME = Key.required(
            "time",
            Types.duration(Duration.ZERO, MAX_DURATION),
            "\"3 s\"",
            "When it begins, from the start of the load or from SIGTERM.");
    private static final Key<StepKind> WHAT = Key.required(
            "what", Types.oneOf(StepKind.class), "\"hold\"", "What happens; docs/RIG.md says what each one does.");
    private static final Key<Duration> LENGTH =
            Key.preset("length", Types.duration(Duration.ZERO, MAX_DURATION), "\"0 s\"", "Until it is over.");
    private static final Key<Long> COUNT =
            Key.preset("count", Types.wholeNumber(0, 1_000), "0", "Of connections or clients.");

    static final Table TABLE = Table.repeated(
            "step", 0, 1_000, "Something that happens to the sidecar or round it.", TIME, WHAT, LENGTH, COUNT);

    /** On one line, for people. */
    public String describe() {
        return what.written() + " at " + time.toMillis() + " ms for " + length.toMillis() + " ms, " + count;
    }
}
