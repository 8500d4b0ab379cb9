package peppergauge.nomad;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import peppergauge.nomad.api.AgentAddress;
import peppergauge.nomad.api.ResponseLimits;
import peppergauge.nomad.model.AttributeMapping;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Type;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** Section {@code [nomad]}: the addresses of the service API and the settings for polling it. */
public final class NomadSection implements Section {

    private static final Type<String> ATTRIBUTE_SOURCE = Types.text(
            Pattern.compile("datacenter|tag:[!-~]{1,100}|node-meta:[!-~]{1,100}"),
            "\"datacenter\", \"tag:PREFIX\" or \"node-meta:KEY\"");
    private static final Type<String> AGENT_ADDRESS =
            Types.text(Pattern.compile("[0-9A-Za-z.:_\\[\\]-]{1,253}:[0-9]{1,5}"), "host:port");

    static final Key<Boolean> ENABLED = Key.preset(
            "enabled",
            Types.flag(),
            "false",
            "Whether the server table comes from the sources of [membership]; if not, the platform's discovery is "
                    + "watched as if this file were not there.");
    static final Key<String> SERVICE = Key.required(
            "service",
            Types.text(
                    Pattern.compile("[0-9A-Za-z_.-]{1,128}"),
                    "a service name of at most 128 letters, digits, _, . and -"),
            "\"episodes\"",
            "Name under which the backend servers are registered.");
    static final Key<String> NAMESPACE = Key.optional(
            "namespace",
            Types.text(
                    Pattern.compile("[0-9A-Za-z_.-]{1,128}"), "a namespace of at most 128 letters, digits, _, . and -"),
            "\"default\"",
            "Nomad's namespace; its default one if left out.");
    static final Key<String> FILTER = Key.optional(
            "filter",
            Types.text(1, 1_000),
            "'Tags contains \"live\"'",
            "Nomad's filter expression on registrations; with one the event stream is not used, for it knows no such "
                    + "filter.");
    static final Key<List<String>> AGENTS = Key.preset(
            "agents",
            Types.listOf(AGENT_ADDRESS, 1, 16),
            "[\"127.0.0.1:4646\"]",
            "Nomad's agents, plain HTTP; the first is asked until it fails, then the next.");
    static final Key<String> TOKEN_FILE = Key.optional(
            "token_file",
            Types.text(1, 4_000),
            "\"/run/secrets/nomad-token\"",
            "File that holds the ACL token; read again every 5 s and when Nomad refuses it.");
    static final Key<Boolean> ALLOW_STALE = Key.preset(
            "stale",
            Types.flag(),
            "true",
            "Whether a server that does not lead may answer; lists then survive the loss of the leader.");
    static final Key<Duration> MAX_STALENESS = Key.preset(
            "stalest",
            Types.ms(1, 600_000),
            "\"5 s\"",
            "If the answering server has not heard from its leader for longer, what its list leaves out is not "
                    + "believed to be gone.");
    static final Key<Duration> BLOCKING_WAIT = Key.preset(
            "wait", Types.ms(1_000, 600_000), "\"60 s\"", "How long a query for changes is held when there are none.");
    static final Key<Duration> RESPONSE_TIMEOUT = Key.preset(
            "answer_within",
            Types.ms(100, 60_000),
            "\"5 s\"",
            "How long any answer may take, beyond what a query for changes is held.");
    static final Key<Duration> MIN_INTERVAL = Key.preset(
            "least_gap",
            Types.ms(50, 60_000),
            "\"250 ms\"",
            "Time between an answer to a query for changes and the next such query, at least.");
    static final Key<Long> LIST_BYTES_PER_SECOND = Key.preset(
            "check_rate",
            Types.size(1, 1 << 30),
            "\"64 KiB\"",
            "Bytes a second that lists may cost while the stream tells the changes; the larger the list, the longer "
                    + "the gap.");
    static final Key<Boolean> USE_STREAM = Key.preset(
            "stream",
            Types.flag(),
            "true",
            "Whether the event stream is used where it is allowed; the query for changes goes on beside it.");
    static final Key<Duration> STREAM_IDLE_TIMEOUT = Key.preset(
            "stream_silence",
            Types.ms(1_000, 600_000),
            "\"25 s\"",
            "Silence after which the stream counts as lost; Nomad sends a heartbeat every 10 s.");
    static final Key<Duration> DETAIL_INTERVAL = Key.preset(
            "look_every",
            Types.ms(0, 3_600_000),
            "\"5 s\"",
            "Time between two looks at single allocations, their checks and nodes, one at a time; \"0 ms\" for none.");
    static final Key<Duration> INITIAL_BACKOFF = Key.preset(
            "back_off",
            Types.ms(10, 60_000),
            "\"250 ms\"",
            "First wait after a failure; it doubles, and each is drawn between half and all of its length.");
    static final Key<Duration> MAX_BACKOFF =
            Key.preset("longest_back_off", Types.ms(10, 600_000), "\"10 s\"", "Bound of the waits after failures.");
    static final Key<Duration> START_SPREAD = Key.preset(
            "start_spread",
            Types.ms(0, 60_000),
            "\"2 s\"",
            "The first query is sent at a random time within this, so that sidecars that start together do not ask "
                    + "together; without a known server it is sent within a tenth of it.");
    static final Key<Boolean> DRAIN_INELIGIBLE = Key.preset(
            "ineligible_leaves",
            Types.flag(),
            "true",
            "Whether a node that is not eligible for new work any more makes its servers leave.");
    static final Key<String> ZONE = Key.preset(
            "zone",
            ATTRIBUTE_SOURCE,
            "\"datacenter\"",
            "Where a server's zone stands; names are those of the sidecar's own settings.");
    static final Key<String> CELL = Key.optional(
            "cell", ATTRIBUTE_SOURCE, "\"tag:cell=\"", "Where a server's cell, a whole number, stands; 0 if left out.");
    static final Key<String> SERVER_KIND = Key.optional(
            "server_kind",
            ATTRIBUTE_SOURCE,
            "\"node-meta:kind\"",
            "Where a server's kind of machine stands; told in the log only.");
    static final Key<String> WEIGHT = Key.optional(
            "weight",
            ATTRIBUTE_SOURCE,
            "\"tag:weight=\"",
            "Where a server's weight stands; 0 makes it leave, all else is told in the log only.");
    static final Key<Long> MAX_BYTES = Key.preset(
            "largest_answer",
            Types.size(1_024, 64 << 20),
            "\"4 MiB\"",
            "Bytes of an answer, or of a line of the stream; more is refused as a failure.");
    static final Key<Long> MAX_DEPTH = Key.preset(
            "deepest_answer",
            Types.wholeNumber(4, 1_000),
            "32",
            "Objects and lists in each other; more is refused as a failure.");
    static final Key<Long> MAX_ENTRIES = Key.preset(
            "most_entries", Types.wholeNumber(1, 100_000), "5000", "Entries of a list; more is refused as a failure.");

    static final Table TABLE = Table.optional(
            "nomad",
            "Nomad's service API as a source of the server table.",
            ENABLED,
            SERVICE,
            NAMESPACE,
            FILTER,
            AGENTS,
            TOKEN_FILE,
            ALLOW_STALE,
            MAX_STALENESS,
            BLOCKING_WAIT,
            RESPONSE_TIMEOUT,
            MIN_INTERVAL,
            LIST_BYTES_PER_SECOND,
            USE_STREAM,
            STREAM_IDLE_TIMEOUT,
            DETAIL_INTERVAL,
            INITIAL_BACKOFF,
            MAX_BACKOFF,
            START_SPREAD,
            DRAIN_INELIGIBLE,
            ZONE,
            CELL,
            SERVER_KIND,
            WEIGHT,
            MAX_BYTES,
            MAX_DEPTH,
            MAX_ENTRIES);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        Optional<Values> table = file.find(TABLE);
        if (table.isEmpty()) {
            return;
        }
        Values values = table.get();
        if (values.get(INITIAL_BACKOFF).compareTo(values.get(MAX_BACKOFF)) > 0) {
            problems.add(values.place(INITIAL_BACKOFF), "nomad.back_off", "must not be longer than longest_back_off");
        }
        values.find(TOKEN_FILE)
                .filter(path -> !isPath(path))
                .ifPresent(path -> problems.add(values.place(TOKEN_FILE), "nomad.token_file", "must be a path"));
    }

    private static boolean isPath(String text) {
        try {
            return Path.of(text) != null;
        } catch (InvalidPathException invalid) {
            return false;
        }
    }

    /** Returns whether the file enables Nomad. */
    static boolean enabled(Values file) {
        return file.find(TABLE).map(table -> table.get(ENABLED)).orElse(false);
    }

    /**
     * Returns the settings of the section, which must be present.
     *
     * @param zones names of the zones by index
     */
    static NomadSettings settings(Values file, List<String> zones) {
        Values values = file.get(TABLE);
        AttributeMapping mapping = new AttributeMapping(
                Optional.of(values.get(ZONE)), values.find(CELL), values.find(SERVER_KIND), values.find(WEIGHT), zones);
        ResponseLimits limits = new ResponseLimits(
                values.get(MAX_BYTES).intValue(),
                values.get(MAX_DEPTH).intValue(),
                values.get(MAX_ENTRIES).intValue());
        boolean hasFilter = values.find(FILTER).isPresent();
        return new NomadSettings(
                values.get(SERVICE),
                values.find(NAMESPACE).orElse(""),
                values.find(FILTER).orElse(""),
                values.get(AGENTS).stream().map(AgentAddress::of).toList(),
                values.find(TOKEN_FILE).map(Path::of),
                values.get(ALLOW_STALE),
                toMs(values, MAX_STALENESS),
                toMs(values, BLOCKING_WAIT),
                toMs(values, RESPONSE_TIMEOUT),
                toMs(values, MIN_INTERVAL),
                values.get(LIST_BYTES_PER_SECOND),
                toMs(values, STREAM_IDLE_TIMEOUT),
                values.get(USE_STREAM) && !hasFilter,
                toMs(values, DETAIL_INTERVAL),
                toMs(values, INITIAL_BACKOFF),
                toMs(values, MAX_BACKOFF),
                toMs(values, START_SPREAD),
                values.get(DRAIN_INELIGIBLE),
                mapping,
                limits);
    }

    /** Returns a duration in milliseconds. */
    static double toMs(Values values, Key<Duration> key) {
        return values.get(key).toNanos() / 1e6;
    }
}
