package peppergauge.lab.soak;

import java.time.Duration;
import peppergauge.lab.callfault.CallFault;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * A step of a run, from one {@code [[step]]} table.
 *
 * @param time when the step begins, from the start of the load; for steps during shutdown, from SIGTERM
 * @param length how long the step lasts
 * @param count number of connections or clients, or the seed of failing calls
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
    private static final Key<Long> COUNT = Key.preset(
            "count", Types.wholeNumber(0, 1_000), "0", "Of connections or clients; the seed of failing calls.");

    static final Table TABLE = Table.repeated(
            "step", 0, 1_000, "Something that happens to the sidecar or round it.", TIME, WHAT, LENGTH, COUNT);

    /** Returns a description on one line for reports. */
    public String describe() {
        String more = what == StepKind.CALLS_FAIL ? CallFault.draw(count).toString() : Long.toString(count);
        return what.written() + " at " + time.toMillis() + " ms for " + length.toMillis() + " ms, " + more;
    }
}
