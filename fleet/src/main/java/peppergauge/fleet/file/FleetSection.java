package peppergauge.fleet.file;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import peppergauge.fleet.reader.ReaderSettings;
import peppergauge.fleet.reader.SampledKeys;
import peppergauge.fleet.table.TableReader;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** {@code [fleet]} of a daemon's file: which service it reports to and takes tables of. */
public final class FleetSection implements Section {

    private static final Key<String> SITE =
            Key.required("site", Types.name(), "\"north\"", "The deployment, as the service's own file names it.");
    private static final Key<List<String>> ADDRESSES = Key.required(
            "addresses",
            Types.listOf(Addresses.TYPE, 1, 9),
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
    private static final Key<Duration> PATIENCE = Key.preset(
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
            Types.wholeNumber(0, SampledKeys.MOST),
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
            PATIENCE,
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
                .filter(said -> said.get(FIRST).compareTo(said.get(LONGEST)) > 0)
                .ifPresent(said -> problems.add(
                        said.place(FIRST), "fleet.first-interval", "must not be longer than longest-interval"));
        file.find(TABLE)
                .filter(said -> said.get(SAMPLED) > 0 && said.get(SAMPLED) < SampledKeys.LEAST)
                .ifPresent(said -> problems.add(
                        said.place(SAMPLED), "fleet.sampled-keys", "must be 0, or at least " + SampledKeys.LEAST));
    }

    /** Empty where the file has no such table. */
    public static Optional<ReaderSettings> settings(Values file) {
        return file.find(TABLE)
                .map(said -> new ReaderSettings(
                        said.get(SITE),
                        said.get(ADDRESSES),
                        said.get(STEERS),
                        said.get(FIRST).toMillis(),
                        said.get(LONGEST).toMillis(),
                        said.get(PATIENCE).toMillis(),
                        new TableReader.Bounds(
                                said.get(SITE),
                                said.get(SKEW).toMillis(),
                                said.get(STEP),
                                said.get(STEP_EVERY).toMillis(),
                                said.get(LEASE).toMillis()),
                        said.get(SAMPLED).intValue()));
    }
}
