package peppergauge.daemon.startup;

import java.time.Duration;
import peppergauge.coldstart.ReadinessPolicy;
import peppergauge.coldstart.SharedServicePollPolicy;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** Schema of {@code [start]}: startup of a sidecar that shares a discovery service with hundreds of others. */
public final class StartupSection implements Section {

    private static final Key<Double> CALLS = Key.preset(
            "discovery-calls",
            Types.number(0.1, 100_000),
            "50",
            "Calls a second that all sidecars together make to discovery, as a mean: half of what it answers or less.");
    private static final Key<Duration> SPREAD = Key.preset(
            "spread",
            Types.ms(0, 600_000),
            "\"2 s\"",
            "Over which first calls are spread at the least; over more where the calls a second ask for it.");
    private static final Key<Duration> ANSWER = Key.preset(
            "answer",
            Types.ms(50, 60_000),
            "\"2 s\"",
            "The first wait for discovery's answer; each further one is half as long again.");
    private static final Key<Duration> LONGEST_ANSWER =
            Key.preset("longest-answer", Types.ms(50, 600_000), "\"10 s\"", "Bound of that.");
    private static final Key<Duration> LONGEST_PAUSE = Key.preset(
            "longest-pause",
            Types.ms(100, 3_600_000),
            "\"60 s\"",
            "Longest pause between calls where the settings do not tell the number of sidecars.");
    private static final Key<Duration> SILENCE = Key.preset(
            "silence",
            Types.ms(2_500, 600_000),
            "\"2.5 s\"",
            "Silence after which a watch counts as broken; a fifth more at most, by draw.");
    private static final Key<Duration> PATIENCE = Key.preset(
            "patience",
            Types.ms(0, 25_000),
            "\"2 s\"",
            "How long a sidecar that knows servers waits for news before it is ready by what it knows.");
    private static final Key<Duration> LONGEST = Key.preset(
            "longest",
            Types.ms(0, 25_000),
            "\"20 s\"",
            "How long one that knows none waits before it is ready all the same, and denies.");

    /** The optional table; without it a sidecar starts as with {@code serve}. */
    public static final Table TABLE = Table.optional(
            "start",
            "How this sidecar starts beside others that share its "
                    + "discovery; what it says of all of them is shared out by the number of sidecars in the settings.",
            CALLS,
            SPREAD,
            ANSWER,
            LONGEST_ANSWER,
            LONGEST_PAUSE,
            SILENCE,
            PATIENCE,
            LONGEST);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        file.find(TABLE).ifPresent(start -> {
            if (start.get(LONGEST_ANSWER).compareTo(start.get(ANSWER)) < 0) {
                problems.add(start.place(LONGEST_ANSWER), "start.longest-answer", "must not be shorter than answer");
            }
            if (start.get(LONGEST).compareTo(start.get(PATIENCE)) < 0) {
                problems.add(start.place(LONGEST), "start.longest", "must not be shorter than patience");
            }
        });
    }

    private static double ms(Values table, Key<Duration> key) {
        return table.get(key).toNanos() / 1e6;
    }

    /** Returns the rates and timeouts of calls to discovery. */
    public static SharedServicePollPolicy.Config pollSettings(Values table) {
        return new SharedServicePollPolicy.Config(
                table.get(CALLS),
                ms(table, SPREAD),
                ms(table, ANSWER),
                ms(table, LONGEST_ANSWER),
                ms(table, LONGEST_PAUSE),
                ms(table, SILENCE));
    }

    /** Returns when the sidecar is ready. */
    public static ReadinessPolicy readiness(Values table) {
        return new ReadinessPolicy(ms(table, PATIENCE), ms(table, LONGEST));
    }
}
