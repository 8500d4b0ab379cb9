package peppergauge.thrift.file;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import peppergauge.operator.FileKind;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Type;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** The section {@code [thrift]} of operator files: the listener, the servers' wire format and the methods. */
public final class ThriftSection implements Section {

    private static final String[] FORMAT_NAMES = {
        "binary", "old-binary", "compact", "framed-binary", "framed-old-binary", "framed-compact"
    };
    static final String RECOGNISED = "recognised";

    private static final Type<String> ADDRESS_TYPE =
            Types.text(Pattern.compile("[^\\s:]{1,255}:[0-9]{1,5}"), "host:port");
    private static final Type<String> METHOD_NAME_TYPE = Types.text(
            Pattern.compile("[A-Za-z_][A-Za-z0-9_.:]{0,255}"),
            "a method's name as clients send it, with SERVICE: before it where services share a connection");
    private static final Type<String> PATH_TYPE = Types.text(
            Pattern.compile("-?[0-9]{1,5}(\\.-?[0-9]{1,5}){0,7}"), "1 to 8 field ids with dots between them");

    public static final Key<String> LISTEN =
            Key.required("listen", ADDRESS_TYPE, "\"127.0.0.1:9090\"", "Where Thrift clients connect.");
    public static final Key<String> CLIENT_FORM = Key.preset(
            "form",
            Types.oneOf(
                    RECOGNISED,
                    FORMAT_NAMES[0],
                    FORMAT_NAMES[1],
                    FORMAT_NAMES[2],
                    FORMAT_NAMES[3],
                    FORMAT_NAMES[4],
                    FORMAT_NAMES[5]),
            '"' + RECOGNISED + '"',
            "What clients speak; recognised: each connection what its first bytes show.");
    public static final Key<Long> LONGEST_MESSAGE = Key.preset(
            "longest-message",
            Types.size(1 << 10, 1 << 20),
            "\"64 KiB\"",
            "The longest message that is taken from a client or server, without a frame's head.");
    public static final Key<Long> DEEPEST_NESTING = Key.preset(
            "deepest",
            Types.wholeNumber(1, 64),
            "32",
            "How many structs and containers may be inside each other, arguments or results counted.");

    public static final Key<String> SERVER_FORM = Key.required(
            "form",
            Types.oneOf(FORMAT_NAMES),
            "\"framed-binary\"",
            "What they speak; calls in another form are re-encoded.");
    public static final Key<List<String>> SERVER_ID_PREFIXES = Key.optional(
            "only",
            Types.listOf(Types.text(1, 64), 1, 100),
            "[\"radio-\"]",
            "Beginnings of the ids of the servers that speak Thrift; left out, all do.");
    public static final Key<String> PROBE = Key.optional(
            "probe",
            METHOD_NAME_TYPE,
            "\"load\"",
            "The method without arguments that returns a load report as a string; left out, no server is probed.");
    public static final Table SERVERS =
            Table.required("servers", "The backend servers.", SERVER_FORM, SERVER_ID_PREFIXES, PROBE);

    public static final Key<String> NAME = Key.required(
            "name",
            METHOD_NAME_TYPE,
            "\"listEpisodes\"",
            "The method's name; methods that are not in the file are never passed on.");
    public static final Key<String> CLASS = Key.required(
            "class",
            Types.text(1, 80),
            "\"episode-list\"",
            "Its class, as the settings name it; it says whether a call may run again.");
    public static final Key<String> ID = Key.optional(
            "id",
            PATH_TYPE,
            "\"1.1\"",
            "Where the session's id stands in the arguments; left out, each call gets an id, and copies are not seen.");
    public static final Key<String> TENANT =
            Key.optional("tenant", PATH_TYPE, "\"1.2\"", "Where the tenant's name stands.");
    public static final Key<String> ABSENT_TENANT = Key.optional(
            "absent-tenant",
            Types.text(1, 80),
            "\"dongsan-fm\"",
            "The tenant of calls that do not say; left out, they are refused.");
    public static final Key<String> KEY =
            Key.optional("key", PATH_TYPE, "\"2\"", "Where stands what the call concerns.");
    public static final Key<String> REMAINING = Key.optional(
            "remaining",
            PATH_TYPE,
            "\"1.3\"",
            "Where the remaining time stands, in ms; it is rewritten there before each attempt.");
    public static final Key<Duration> ABSENT_REMAINING = Key.preset(
            "absent-remaining",
            Types.duration(Duration.ofMillis(1), Duration.ofHours(1)),
            "\"1 s\"",
            "The remaining time of calls that do not say.");
    public static final Key<List<Long>> NEVER_RAN = Key.optional(
            "never-ran",
            Types.listOf(Types.wholeNumber(1, Short.MAX_VALUE), 1, 20),
            "[2]",
            "Field ids of declared exceptions that mean that nothing ran.");
    public static final Key<String> LOAD = Key.optional(
            "load",
            PATH_TYPE,
            "\"0.32767\"",
            "Where the load report stands in the reply, as a string; 0 is what the method returns.");
    public static final Table METHODS = Table.repeated(
            "method",
            1,
            1_000,
            "What a method means.",
            NAME,
            CLASS,
            ID,
            TENANT,
            ABSENT_TENANT,
            KEY,
            REMAINING,
            ABSENT_REMAINING,
            NEVER_RAN,
            LOAD);

    public static final Table TABLE = Table.optional(
                    "thrift",
                    "Sessions that come in by Thrift, beside those that come in by HTTP.",
                    LISTEN,
                    CLIENT_FORM,
                    LONGEST_MESSAGE,
                    DEEPEST_NESTING)
            .with(SERVERS, METHODS);

    /** A file with only this section. */
    public static final FileKind KIND =
            new FileKind("thrift", "Thrift before the same decisions as HTTP.", List.of(new ThriftSection()));

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        Set<String> names = new HashSet<>();
        for (Values method : file.find(TABLE).map(found -> found.all(METHODS)).orElse(List.of())) {
            if (!names.add(method.get(NAME))) {
                problems.add(method.place(NAME), "thrift.method.name", "is there twice");
            }
            for (Key<String> path : List.of(ID, TENANT, KEY, REMAINING, LOAD)) {
                if (method.find(path).isPresent() && !ThriftSettings.isValidPath(method.get(path))) {
                    problems.add(
                            method.place(path),
                            "thrift.method." + path.name(),
                            "has a field id outside -32768 to 32767");
                }
            }
        }
    }
}
