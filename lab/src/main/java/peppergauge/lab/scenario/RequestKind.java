package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * One {@code [[class]]} of requests.
 *
 * @param share of the requests, against the other classes' shares
 * @param work mean, as time on a standard core
 * @param workSpread spread from request to request, as a share of the mean
 * @param aim an answer within it earns the worth
 * @param deadline an answer within it earns {@code lateWorth} of the worth; the client waits no longer
 * @param requestKib of an unsafe request's body, KiB, 0 for the usual 200 B; on sockets only, as the next
 * @param answerKib of an answer's body
 */
public record RequestKind(
        String name,
        double share,
        Duration work,
        double workSpread,
        Duration aim,
        Duration deadline,
        double worth,
        double lateWorth,
        Effect effect,
        long requestKib,
        long answerKib) {

    /** Stand-ins hold bodies whole. */
    private static final long MOST_KIB = 16 * 1024;

    /** What running twice does. */
    public enum Effect {
        SAFE,
        UNSAFE
    }

    static final Table TABLE = Table.repeated(
            "class",
            1,
            32,
            "A class of requests.",
            Key.required("name", Types.name(), "\"list\"", "What entries refer to."),
            Key.preset("share", Types.number(0.0001, 1_000), "1", "Of the requests, against other classes' shares."),
            Key.required("work", Scenario.time(0.01, 60_000), "\"80 ms\"", "Mean, as time on a standard core."),
            Key.preset("work-spread", Types.number(0, 10), "0.5", "Spread of the work, as a share of the mean."),
            Key.required("aim", Scenario.time(1, 60_000), "\"400 ms\"", "An answer within it earns the whole worth."),
            Key.required("deadline", Scenario.time(1, 600_000), "\"2 s\"", "Clients wait no longer, over all tries."),
            Key.preset("worth", Types.number(0, 1_000), "1", "Of an answer in time."),
            Key.preset(
                    "late-worth",
                    Types.number(0, 1),
                    "0.25",
                    "Share of the worth of an answer between aim and deadline."),
            Key.preset("effect", Types.oneOf(Effect.class), "\"safe\"", "Unsafe: it must never run twice."),
            Key.preset(
                    "request-kib",
                    Types.wholeNumber(0, MOST_KIB),
                    "0",
                    "KiB of an unsafe request's body in play; 0"
                            + " is 200 B. Over 64 it takes a daemon with [bodies]. emulate has no bodies."),
            Key.preset("answer-kib", Types.wholeNumber(0, MOST_KIB), "0", "The same of an answer's body."));
}
