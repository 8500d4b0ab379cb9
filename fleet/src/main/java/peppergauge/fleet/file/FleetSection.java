package peppergauge.fleet.file;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import peppergauge.fleet.client.FleetClientConfig;
import peppergauge.fleet.client.SampledKeyStatistics;
import peppergauge.fleet.table.LeasedTable;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** Section {@code [fleet]} of a daemon's file: the client of the fleet service. */
public final class FleetSection implements Section {

    private static final Key<String> SITE =
            Key.required("site", Types.name(), "\"north\"", "The deployment, as the service's own file names it.");
    private static final Key<List<String>> ADDRESSES = Key.required(
            "addresses",
            Types.listOf(HostAndPort.TYPE, 1, 9),
            "[\"127.0.0.1:7101\", \"127.0.0.1:7102\", \"127.0.0.1:7103\"]",
            "The service's instances; each daemon keeps to one, in an order of its own, until it fails.");
    private static final Key<Boolean> STEERS =
            Key.preset("steers", Types.flag(), "true", "Whether tables come into force here; if not, it only reports.");
    private static final Key<Duration> FIRST = Key.preset(
            "first-interval",
            Types.ms(100, 600_000),
            "\"10 s\"",
            "Between reports, and between asks for tables, until the service tells others.");
    private static final Key<Duration> LONGEST = Key.preset(
            "longest-interval",
            Types.ms(100, 3_600_000),
            "\"5 min\"",
            "No longer one is taken from the service, nor waited for after failures.");
    private static final Key<Duration> TIMEOUT = Key.preset(
            "patience",
            Types.ms(50, 60_000),
            "\"2 s\"",
            "How long a connection or an answer is waited for; sessions never wait for either.");
    private static final Key<Duration> SKEW = Key.preset(
            "clock-skew",
            Types.ms(0, 600_000),
            "\"5 s\"",
            "A table that was issued later than that from now is not taken.");
    private static final Key<Double> STEP =
            Key.preset("step", Types.number(0.01, 1), "0.1", "By how much any factor may move at once.");
    private static final Key<Duration> STEP_EVERY =
            Key.preset("step-every", Types.ms(100, 600_000), "\"5 s\"", "Time between two such steps.");
    private static final Key<Duration> LEASE = Key.preset(
            "longest-lease", Types.ms(1_000, 86_400_000), "\"1 h\"", "A table with a longer one is not taken.");

    private static final Key<Long> SAMPLED = Key.preset(
            "sampled-keys",
            Types.wholeNumber(0, SampledKeyStatistics.MAX_KEYS),
            "0",
            "Keys counted here for forecasts of hit rates, at most: a session's key is the last part of its path, if"
                    + " that has two or more. 0 counts none, else 16 or more; each takes some 130 bytes of a report."
                    + " With more keys than that, those that came most often are counted, too.");

    public static final Table TABLE = Table.optional(
            "fleet",
            "Reports what clients saw to the fleet service, and takes" + " its tables. Left out: neither.",
            SITE,
            ADDRESSES,
            STEERS,
            FIRST,
            LONGEST,
            TIMEOUT,
            SKEW,
            STEP,
            STEP_EVERY,
            LEASE,
            SAMPLED);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        file.find(TABLE)
                .filter(values -> values.get(FIRST).compareTo(values.get(LONGEST)) > 0)
                .ifPresent(values -> problems.add(
                        values.place(FIRST), "fleet.first-interval", "must not be longer than longest-interval"));
        file.find(TABLE)
                .filter(values -> values.get(SAMPLED) > 0 && values.get(SAMPLED) < SampledKeyStatistics.MIN_KEYS)
                .ifPresent(values -> problems.add(
                        values.place(SAMPLED),
                        "fleet.sampled-keys",
                        "must be 0, or at least " + SampledKeyStatistics.MIN_KEYS));
    }

    /** Returns the client's configuration, empty if the file has no such section. */
    public static Optional<FleetClientConfig> settings(Values file) {
        return file.find(TABLE)
                .map(values -> new FleetClientConfig(
                        values.get(SITE),
                        values.get(ADDRESSES),
                        values.get(STEERS),
                        values.get(FIRST).toMillis(),
                        values.get(LONGEST).toMillis(),
                        values.get(TIMEOUT).toMillis(),
                        new LeasedTable.Limits(
                                values.get(SITE),
                                values.get(SKEW).toMillis(),
                                values.get(STEP),
                                values.get(STEP_EVERY).toMillis(),
                                values.get(LEASE).toMillis()),
                        values.get(SAMPLED).intValue()));
    }
}
