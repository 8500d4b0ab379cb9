package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [[class]]}: a class of requests.
 *
 * @param share share of the requests, relative to the shares of other classes
 * @param work mean work of a request, as time on a standard core
 * @param workSpread spread of the work between requests, as a share of the mean
 * @param aim latency objective: a response within it earns the whole worth
 * @param deadline a response after the aim but within the deadline earns the share {@code lateWorth} of the worth;
 *     clients wait no longer
 * @param worth worth of a response within the aim
 * @param lateWorth share of the worth that a response between aim and deadline earns
 * @param effect whether a request may be executed more than once
 * @param requestKib size of an unsafe request's body in KiB, 0 for 200 bytes; used by {@code play} only
 * @param answerKib size of a response body in KiB; used by {@code play} only
 */
public record RequestClassSpec(
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

    /** Stand-ins keep whole bodies in memory. */
    private static final long MAX_BODY_KIB = 16 * 1024;

    /** Whether executing a request twice is harmless. */
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
            Key.required("work", Scenario.duration(0.01, 60_000), "\"80 ms\"", "Mean, as time on a standard core."),
            Key.preset("work-spread", Types.number(0, 10), "0.5", "Spread of the work, as a share of the mean."),
            Key.required(
                    "aim", Scenario.duration(1, 60_000), "\"400 ms\"", "An answer within it earns the whole worth."),
            Key.required(
                    "deadline", Scenario.duration(1, 600_000), "\"2 s\"", "Clients wait no longer, over all tries."),
            Key.preset("worth", Types.number(0, 1_000), "1", "Of an answer in time."),
            Key.preset(
                    "late-worth",
                    Types.number(0, 1),
                    "0.25",
                    "Share of the worth of an answer between aim and deadline."),
            Key.preset("effect", Types.oneOf(Effect.class), "\"safe\"", "Unsafe: it must never run twice."),
            Key.preset(
                    "request-kib",
                    Types.wholeNumber(0, MAX_BODY_KIB),
                    "0",
                    "KiB of an unsafe request's body in play; 0"
                            + " is 200 B. Over 64 it takes a daemon with [bodies]. emulate has no bodies."),
            Key.preset("answer-kib", Types.wholeNumber(0, MAX_BODY_KIB), "0", "The same of an answer's body."));
}
