package peppergauge.nomad;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import peppergauge.membership.MembershipConfig;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** Section {@code [membership]}: the sources of the endpoint list and the settings for merging them. */
public final class MembershipSection implements Section {

    /** Name of Nomad's service API as a source. */
    static final String NOMAD = "nomad";

    /** Name of the platform's discovery as a source. */
    static final String PLATFORM = "platform";

    static final Key<List<String>> SOURCES = Key.preset(
            "sources",
            Types.listOf(Types.oneOf(NOMAD, PLATFORM), 1, 2),
            "[\"nomad\"]",
            "Where the server table comes from, the first goes before; platform is the discovery that "
                    + "the sidecar watches anyway.");
    static final Key<MembershipConfig.SourceMode> SOURCE_MODE = Key.preset(
            "several",
            Types.oneOf(MembershipConfig.SourceMode.class),
            "\"first\"",
            "What two sources mean together: the first that speaks alone, or all that any lists, leaving if any "
                    + "says so.");
    static final Key<Double> MAX_LOSS_SHARE = Key.preset(
            "loss_share",
            Types.number(0, 1),
            "0.5",
            "If more than this share of the servers is missing from a list at once, without a drain or a stop told for "
                    + "each, the loss must be confirmed; so must an empty list always.");
    static final Key<Long> CONFIRMATIONS = Key.preset(
            "confirmations",
            Types.wholeNumber(1, 100),
            "3",
            "Lists in a row that must tell such a loss, or a version that went back, before it is believed.");
    static final Key<Duration> CONFIRMATION_TIME = Key.preset(
            "confirm_after",
            Types.ms(0, 600_000),
            "\"10 s\"",
            "Time that must lie between the first and the last of them.");
    static final Key<Duration> FAILOVER = Key.preset(
            "next_after",
            Types.ms(1, 3_600_000),
            "\"30 s\"",
            "Silence of a source after which the next one is believed in its place.");
    static final Key<Duration> RETENTION = Key.preset(
            "keep",
            Types.ms(1_000, 604_800_000),
            "\"1 h\"",
            "Silence of a source after which a server that answers nothing is no longer kept while others answer.");
    static final Key<Duration> RESPONSE_WINDOW = Key.preset(
            "answered_within",
            Types.ms(100, 600_000),
            "\"5 s\"",
            "How long a served attempt counts as a sign of life of its server.");
    static final Key<Long> FLAP_THRESHOLD = Key.preset(
            "flaps", Types.wholeNumber(1, 16), "3", "Departures within flap_window from which on a return is held up.");
    static final Key<Duration> FLAP_WINDOW =
            Key.preset("flap_window", Types.ms(1, 3_600_000), "\"60 s\"", "How long a departure is remembered.");
    static final Key<Duration> INITIAL_SUPPRESSION = Key.preset(
            "hold",
            Types.ms(0, 600_000),
            "\"2 s\"",
            "How long the first such return is held up; doubles with each further departure.");
    static final Key<Duration> MAX_SUPPRESSION =
            Key.preset("longest_hold", Types.ms(0, 600_000), "\"30 s\"", "Bound of that.");
    static final Key<Duration> REMOVAL_DELAY = Key.preset(
            "linger",
            Types.ms(0, 600_000),
            "\"10 s\"",
            "How long a server that left stays in the table as leaving before it is gone.");
    static final Key<String> LIST_FILE = Key.optional(
            "last_table",
            Types.text(1, 4_000),
            "\"/var/lib/peppergauge/servers.json\"",
            "File that the table is written to when it changed, at most once in 5 s, and read from at a start.");

    static final Table TABLE = Table.optional(
            "membership",
            "What is believed of what sources tell.",
            SOURCES,
            SOURCE_MODE,
            MAX_LOSS_SHARE,
            CONFIRMATIONS,
            CONFIRMATION_TIME,
            FAILOVER,
            RETENTION,
            RESPONSE_WINDOW,
            FLAP_THRESHOLD,
            FLAP_WINDOW,
            INITIAL_SUPPRESSION,
            MAX_SUPPRESSION,
            REMOVAL_DELAY,
            LIST_FILE);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        file.find(TABLE).ifPresent(values -> {
            List<String> sources = values.get(SOURCES);
            if (sources.stream().distinct().count() < sources.size()) {
                problems.add(values.place(SOURCES), "membership.sources", "must not name a source twice");
            }
            if (values.get(INITIAL_SUPPRESSION).compareTo(values.get(MAX_SUPPRESSION)) > 0) {
                problems.add(
                        values.place(INITIAL_SUPPRESSION), "membership.hold", "must not be longer than longest_hold");
            }
        });
    }

    /** Returns the settings of the section; the defaults with Nomad as the only source if the section is absent. */
    static MembershipConfig config(Values file) {
        return file.find(TABLE)
                .map(values -> new MembershipConfig(
                        values.get(SOURCES),
                        values.get(SOURCE_MODE),
                        values.get(MAX_LOSS_SHARE),
                        values.get(CONFIRMATIONS).intValue(),
                        NomadSection.toMs(values, CONFIRMATION_TIME),
                        NomadSection.toMs(values, FAILOVER),
                        NomadSection.toMs(values, RETENTION),
                        NomadSection.toMs(values, RESPONSE_WINDOW),
                        values.get(FLAP_THRESHOLD).intValue(),
                        NomadSection.toMs(values, FLAP_WINDOW),
                        NomadSection.toMs(values, INITIAL_SUPPRESSION),
                        NomadSection.toMs(values, MAX_SUPPRESSION),
                        NomadSection.toMs(values, REMOVAL_DELAY)))
                .orElseGet(() -> MembershipConfig.defaults(List.of(NOMAD)));
    }

    /** Returns the file that the endpoint list is persisted in; empty if it is not persisted. */
    static Optional<Path> listFile(Values file) {
        return file.find(TABLE).flatMap(values -> values.find(LIST_FILE)).map(Path::of);
    }
}
