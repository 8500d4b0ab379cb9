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

/** Section {@code [nomad]}: where the service API is and how it is polled. */
public final class NomadSection implements Section {

    private static final Type<String> PLACE = Types.text(
            Pattern.compile("datacenter|tag:[!-~]{1,100}|node-meta:[!-~]{1,100}"),
            "\"datacenter\", \"tag:PREFIX\" or \"node-meta:KEY\"");
    private static final Type<String> AGENT =
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
            Types.listOf(AGENT, 1, 16),
            "[\"127.0.0.1:4646\"]",
            "Nomad's agents, plain HTTP; the first is asked until it fails, then the next.");
    static final Key<String> TOKEN = Key.optional(
            "token_file",
            Types.text(1, 4_000),
            "\"/run/secrets/nomad-token\"",
            "File that holds the ACL token; read again every 5 s and when Nomad refuses it.");
    static final Key<Boolean> STALE = Key.preset(
            "stale",
            Types.flag(),
            "true",
            "Whether a server that does not lead may answer; lists then survive the loss of the leader.");
    static final Key<Duration> STALEST = Key.preset(
            "stalest",
            Types.ms(1, 600_000),
            "\"5 s\"",
            "If the answering server has not heard from its leader for longer, what its list leaves out is not "
                    + "believed to be gone.");
    static final Key<Duration> WAIT = Key.preset(
            "wait", Types.ms(1_000, 600_000), "\"60 s\"", "How long a query for changes is held when there are none.");
    static final Key<Duration> ANSWER = Key.preset(
            "answer_within",
            Types.ms(100, 60_000),
            "\"5 s\"",
            "How long any answer may take, beyond what a query for changes is held.");
    static final Key<Duration> GAP = Key.preset(
            "least_gap",
            Types.ms(50, 60_000),
            "\"250 ms\"",
            "Time between an answer to a query for changes and the next such query, at least.");
    static final Key<Long> CHECK = Key.preset(
            "check_rate",
            Types.size(1, 1 << 30),
            "\"64 KiB\"",
            "Bytes a second that lists may cost while the stream tells the changes; the larger the list, the longer "
                    + "the gap.");
    static final Key<Boolean> STREAM = Key.preset(
            "stream",
            Types.flag(),
            "true",
            "Whether the event stream is used where it is allowed; the query for changes goes on beside it.");
    static final Key<Duration> SILENCE = Key.preset(
            "stream_silence",
            Types.ms(1_000, 600_000),
            "\"25 s\"",
            "Silence after which the stream counts as lost; Nomad sends a heartbeat every 10 s.");
    static final Key<Duration> LOOK = Key.preset(
            "look_every",
            Types.ms(0, 3_600_000),
            "\"5 s\"",
            "Time between two looks at single allocations, their checks and nodes, one at a time; \"0 ms\" for none.");
    static final Key<Duration> BACKOFF = Key.preset(
            "back_off",
            Types.ms(10, 60_000),
            "\"250 ms\"",
            "First wait after a failure; it doubles, and each is drawn between half and all of its length.");
    static final Key<Duration> LONGEST =
            Key.preset("longest_back_off", Types.ms(10, 600_000), "\"10 s\"", "Bound of the waits after failures.");
    static final Key<Duration> SPREAD = Key.preset(
            "start_spread",
            Types.ms(0, 60_000),
            "\"2 s\"",
            "The first query is sent at a random time within this, so that sidecars that start together do not ask "
                    + "together; without a known server it is sent within a tenth of it.");
    static final Key<Boolean> INELIGIBLE = Key.preset(
            "ineligible_leaves",
            Types.flag(),
            "true",
            "Whether a node that is not eligible for new work any more makes its servers leave.");
    static final Key<String> ZONE = Key.preset(
            "zone",
            PLACE,
            "\"datacenter\"",
            "Where a server's zone stands; names are those of the sidecar's own settings.");
    static final Key<String> CELL = Key.optional(
            "cell", PLACE, "\"tag:cell=\"", "Where a server's cell, a whole number, stands; 0 if left out.");
    static final Key<String> KIND = Key.optional(
            "server_kind",
            PLACE,
            "\"node-meta:kind\"",
            "Where a server's kind of machine stands; told in the log only.");
    static final Key<String> WEIGHT = Key.optional(
            "weight",
            PLACE,
            "\"tag:weight=\"",
            "Where a server's weight stands; 0 makes it leave, all else is told in the log only.");
    static final Key<Long> BYTES = Key.preset(
            "largest_answer",
            Types.size(1_024, 64 << 20),
            "\"4 MiB\"",
            "Bytes of an answer, or of a line of the stream; more is refused as a failure.");
    static final Key<Long> DEPTH = Key.preset(
            "deepest_answer",
            Types.wholeNumber(4, 1_000),
            "32",
            "Objects and lists in each other; more is refused as a failure.");
    static final Key<Long> ENTRIES = Key.preset(
            "most_entries", Types.wholeNumber(1, 100_000), "5000", "Entries of a list; more is refused as a failure.");

    static final Table TABLE = Table.optional(
            "nomad",
            "Nomad's service API as a source of the server table.",
            ENABLED,
            SERVICE,
            NAMESPACE,
            FILTER,
            AGENTS,
            TOKEN,
            STALE,
            STALEST,
            WAIT,
            ANSWER,
            GAP,
            CHECK,
            STREAM,
            SILENCE,
            LOOK,
            BACKOFF,
            LONGEST,
            SPREAD,
            INELIGIBLE,
            ZONE,
            CELL,
            KIND,
            WEIGHT,
            BYTES,
            DEPTH,
            ENTRIES);

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
        Values said = table.get();
        if (said.get(BACKOFF).compareTo(said.get(LONGEST)) > 0) {
            problems.add(said.place(BACKOFF), "nomad.back_off", "must not be longer than longest_back_off");
        }
        said.find(TOKEN)
                .filter(path -> !isPath(path))
                .ifPresent(path -> problems.add(said.place(TOKEN), "nomad.token_file", "must be a path"));
    }

    private static boolean isPath(String text) {
        try {
            return Path.of(text) != null;
        } catch (InvalidPathException unusable) {
            return false;
        }
    }

    /** Returns whether the file enables Nomad. */
    static boolean enabled(Values file) {
        return file.find(TABLE).map(table -> table.get(ENABLED)).orElse(false);
    }

    /** @param zones names of the zones by index */
    static NomadSettings settings(Values file, List<String> zones) {
        Values values = file.get(TABLE);
        AttributeMapping mapping = new AttributeMapping(
                Optional.of(values.get(ZONE)), values.find(CELL), values.find(KIND), values.find(WEIGHT), zones);
        ResponseLimits limits = new ResponseLimits(
                values.get(BYTES).intValue(),
                values.get(DEPTH).intValue(),
                values.get(ENTRIES).intValue());
        boolean hasFilter = values.find(FILTER).isPresent();
        return new NomadSettings(
                values.get(SERVICE),
                values.find(NAMESPACE).orElse(""),
                values.find(FILTER).orElse(""),
                values.get(AGENTS).stream().map(AgentAddress::of).toList(),
                values.find(TOKEN).map(Path::of),
                values.get(STALE),
                toMs(values, STALEST),
                toMs(values, WAIT),
                toMs(values, ANSWER),
                toMs(values, GAP),
                values.get(CHECK),
                toMs(values, SILENCE),
                values.get(STREAM) && !hasFilter,
                toMs(values, LOOK),
                toMs(values, BACKOFF),
                toMs(values, LONGEST),
                toMs(values, SPREAD),
                values.get(INELIGIBLE),
                mapping,
                limits);
    }

    static double toMs(Values values, Key<Duration> key) {
        return values.get(key).toNanos() / 1e6;
    }
}
