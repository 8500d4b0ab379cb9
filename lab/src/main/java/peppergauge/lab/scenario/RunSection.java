package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/** Section {@code [run]} of a scenario: settings of the whole run. */
public final class RunSection implements Section {

    /** The length is limited, so that every run ends. */
    public static final Key<Duration> LENGTH = Key.required(
            "length",
            Types.duration(Duration.ofMillis(1), Duration.ofHours(24)),
            "\"60 s\"",
            "How long clients go on asking, in the scenario's own time.");

    public static final Key<Long> SEED = Key.preset(
            "seed",
            Types.wholeNumber(0, Integer.MAX_VALUE),
            "1",
            "What all random numbers are drawn from; the same seed gives the same run.");

    public static final Table TABLE = Table.required("run", "The run as a whole.", LENGTH, SEED);

    @Override
    public Table table() {
        return TABLE;
    }
}
