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
 */
public record RequestKind(String name, double share, Duration work, double workSpread, Duration aim, Duration deadline,
        double worth, double lateWorth, Effect effect) {

    /** What running twice does. */
    public enum Effect { SAFE, UNSAFE }

    static final Table TABLE = Table.repeated("class", 1, 32, "A class of requests.",
            Key.required("name", Types.name(), "\"list\"", "What entries refer to."),
            Key.preset("share", Types.number(0.0001, 1_000), "1", "Of the requests, against other classes' shares."),
            Key.required("work", Scenario.time(0.01, 60_000), "\"80 ms\"", "Mean, as time on a standard core."),
            Key.preset("work-spread", Types.number(0, 10), "0.5", "Spread of the work, as a share of the mean."),
            Key.required("aim", Scenario.time(1, 60_000), "\"400 ms\"", "An answer within it earns the whole worth."),
            Key.required("deadline", Scenario.time(1, 600_000), "\"2 s\"", "Clients wait no longer, over all tries."),
            Key.preset("worth", Types.number(0, 1_000), "1", "Of an answer in time."),
            Key.preset("late-worth", Types.number(0, 1), "0.25",
                    "Share of the worth of an answer between aim and deadline."),
            Key.preset("effect", Types.oneOf(Effect.class), "\"safe\"", "Unsafe: it must never run twice."));
}
