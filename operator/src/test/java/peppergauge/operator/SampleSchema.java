package peppergauge.operator;

import java.time.Duration;
import java.util.List;

/** A file kind with a key of each type and each form of table, and a valid file of that kind. */
final class SampleSchema {

    enum Way {
        FAST,
        VERY_SLOW
    }

    static final Key<String> NAME = Key.required("name", Types.name(), "\"a\"", "Name of the kind of server.");
    static final Key<Long> CORES = Key.preset("cores", Types.wholeNumber(1, 64), "2", "Cores of a server.");
    static final Key<Double> SHARE = Key.preset("share", Types.number(0, 1), "0.5", "Share of the fleet.");
    static final Key<Way> WAY = Key.preset("way", Types.oneOf(Way.class), "\"fast\"", "How fast it responds.");
    static final Table SERVER = Table.repeated("server", 1, 3, "One kind of server.", NAME, CORES, SHARE, WAY);

    static final Key<Duration> LENGTH = Key.required(
            "length", Types.duration(Duration.ofMillis(1), Duration.ofHours(24)), "\"250 ms\"", "How long it takes.");
    static final Key<Long> BODY = Key.optional("body", Types.size(1, 65_536), "\"64 KiB\"", "The largest body.");
    static final Key<Boolean> LOUD = Key.preset("loud", Types.flag(), "false", "Whether it logs each request.");
    static final Key<List<Long>> SEEDS =
            Key.preset("seeds", Types.listOf(Types.wholeNumber(0, 99), 1, 3), "[1, 2]", "Seeds to try.");
    static final Key<String> TITLE = Key.optional("title", Types.text(1, 20), "\"a | b\"", "For people.");
    static final Key<Long> LEVEL = Key.required("level", Types.wholeNumber(0, 9), "3", "The log level.");
    static final Table LOG = Table.optional("log", "Logging.", LEVEL);
    static final Table RUN =
            Table.required("run", "One run.", LENGTH, BODY, LOUD, SEEDS, TITLE).with(LOG);

    static final FileKind KIND = new FileKind("fleet", "A fleet to try.", List.of(section(SERVER), new Section() {
        @Override
        public Table table() {
            return RUN;
        }

        @Override
        public void check(Values file, Problems problems) {
            if (file.get(RUN).find(TITLE).filter("wrong"::equals).isPresent()) {
                problems.add(file.get(RUN).place(TITLE), "run.title", "is wrong");
            }
        }
    }));
    static final FileKind OTHER = new FileKind("other", "Another.", List.of(section(LOG)));
    static final OperatorFiles FILES = new OperatorFiles(List.of(KIND, OTHER));

    static final String VALID = """
            kind = "fleet"
            [run]
            length = "3 s"
            seeds = [7, 8]
            [run.log]
            level = 5
            [[server]]
            name = "a"
            [[server]]
            name = "b"
            way = "very-slow"
            share = 1
            """;

    private SampleSchema() {}

    private static Section section(Table table) {
        return () -> table;
    }
}
