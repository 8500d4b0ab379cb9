package peppergauge.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OperatorFilesTest {

    private static List<String> problems(String text) {
        return SampleSchema.FILES.read("f", text).problems().stream()
                .map(Problem::toString)
                .toList();
    }

    @Test
    public void returnsTypedValuesWithLocations() {
        Values file = SampleSchema.FILES.read("f", SampleSchema.VALID).values().orElseThrow();
        Values run = file.get(SampleSchema.RUN);
        assertEquals(run.get(SampleSchema.LENGTH), Duration.ofSeconds(3));
        assertEquals(run.get(SampleSchema.SEEDS), List.of(7L, 8L));
        assertTrue(run.find(SampleSchema.BODY).isEmpty());
        assertEquals(run.place(SampleSchema.SEEDS), new SourceLocation("f", 4, 1));
        assertEquals(run.get(SampleSchema.LOG).get(SampleSchema.LEVEL), (Long) 5L);
        Values second = file.all(SampleSchema.SERVER).get(1);
        assertEquals(second.get(SampleSchema.WAY), SampleSchema.Way.VERY_SLOW);
        assertEquals(second.get(SampleSchema.SHARE), 1.0);
        assertEquals(second.get(SampleSchema.CORES), (Long) 2L);
        assertEquals(second.place(), new SourceLocation("f", 9, 1));
    }

    /** The number of a line of the valid file, its replacement, and the problem expected. */
    @DataProvider
    public Object[][] invalidLines() {
        String seconds = "a duration from \"1 ms\" to \"24 h\" in us, ms, s, min, h";
        String list = "a list of 1 to 3, each a whole number from 0 to 99";
        return new Object[][] {
            {1, "", "f:1:1: kind: is missing; it must be one of \"fleet\", \"other\""},
            {
                1,
                "kind=\"fleets\"",
                "f:1:1: kind: must be one of \"fleet\", \"other\", not \"fleets\"; " + "did you mean fleet?"
            },
            {1, "kind = 1", "f:1:1: kind: must be one of \"fleet\", \"other\", not 1"},
            {3, "", "f:2:1: run.length: is missing; it must be " + seconds},
            {3, "length = 3", "f:3:1: run.length: must be " + seconds + ", not 3"},
            {3, "length = \"3 sec\"", "f:3:1: run.length: must be " + seconds + ", not \"3 sec\""},
            {3, "length = \"25 h\"", "f:3:1: run.length: must be " + seconds + ", not \"25 h\""},
            {3, "length = \"0.0000001 us\"", "f:3:1: run.length: must be " + seconds + ", not \"0.0000001 us\""},
            {3, "  lenght = \"3 s\"\nlength = \"3 s\"", "f:3:3: run.lenght: is unknown; did you mean length?"},
            {4, "zzz = 1", "f:4:1: run.zzz: is unknown; known: length, body, loud, seeds, title, log"},
            {4, "seeds = []", "f:4:1: run.seeds: must be " + list + ", not an empty list"},
            {4, "seeds = [1, 100]", "f:4:13: run.seeds: must be a whole number from 0 to 99, not 100"},
            {4, "seeds = [1, [2]]", "f:4:13: run.seeds: must be a whole number from 0 to 99, not a list of 1"},
            {4, "seeds.a = 1", "f:4:1: run.seeds: must be " + list + ", not a table"},
            {4, "loud = \"yes\"", "f:4:1: run.loud: must be true or false, not \"yes\""},
            {
                4,
                "body = \"64 KB\"",
                "f:4:1: run.body: must be a size from \"1 B\" to \"64 KiB\" in B, KiB, MiB, GiB, " + "not \"64 KB\""
            },
            {
                4,
                "body = \"0.3 B\"",
                "f:4:1: run.body: must be a size from \"1 B\" to \"64 KiB\" in B, KiB, MiB, GiB, " + "not \"0.3 B\""
            },
            {
                4,
                "title = \"a\\nb\"",
                "f:4:1: run.title: must be a text of 1 to 20 characters on one line, " + "not \"a\\nb\""
            },
            {4, "title = \"wrong\"", "f:4:1: run.title: is wrong"},
            {5, "[[run.log]]", "f:5:1: run.log: must be a table, written [run.log]"},
            {
                8,
                "name = \"A\"",
                "f:8:1: server.name: must be a name of a-z, 0-9 and -, at most 40 characters, " + "not \"A\""
            },
            {
                11,
                "way = \"very_slow\"",
                "f:11:1: server.way: must be one of \"fast\", \"very-slow\", "
                        + "not \"very_slow\"; did you mean very-slow?"
            },
            {12, "share = nan", "f:12:1: server.share: must be a number from 0 to 1, not NaN"},
            {12, "share = inf", "f:12:1: server.share: must be a number from 0 to 1, not Infinity"},
            {12, "cores = 65", "f:12:1: server.cores: must be a whole number from 1 to 64, not 65"},
            {
                12,
                "[[server]]\nname=\"c\"\n[[server]]\nname=\"d\"",
                "f:7:1: server: must be written [[server]], 1 to 3 times, not 4 times"
            },
            {12, "share = 1 1", "f:12:11: Unexpected '1', expected a newline or end-of-input"},
            {
                12,
                "share = ",
                "f:12:9: Unexpected end of line, expected ', \", ''', \"\"\", a number, a boolean, "
                        + "a date/time, an array, or a table"
            },
            {12, "way = \"fast\"", "f:12:1: way previously defined at line 11, column 1"},
        };
    }

    @Test(dataProvider = "invalidLines")
    public void invalidLineIsReportedWithLocationAndAllowedValues(int line, String replacement, String problem) {
        List<String> lines = new ArrayList<>(SampleSchema.VALID.lines().toList());
        lines.set(line - 1, replacement);
        assertEquals(problems(String.join("\n", lines) + "\n"), List.of(problem));
    }

    @Test
    public void allProblemsAreReportedInFileOrder() {
        assertEquals(
                problems("kind = \"fleet\"\n[run]\nlength = 1\nlog = 2\nloudd = true\n").stream()
                        .map(problem -> problem.replaceAll("^f:(\\d+):\\d+: ([^:]+):.*", "$1 $2"))
                        .toList(),
                List.of("1 server", "3 run.length", "4 run.log", "5 run.loudd"));
    }

    /**
     * After a table header with a syntax error, the parser assigns the keys that follow to the wrong table, so that
     * schema errors on them would be false.
     */
    @Test
    public void syntaxErrorHidesOnlyLaterSchemaProblems() {
        assertEquals(
                problems("kind = \"fleet\"\n[run]\nlength = 1\n[[server]\nname = \"a\"\n").stream()
                        .map(problem -> problem.split(": ")[0])
                        .toList(),
                List.of("f:3:1", "f:4:9"));
    }

    @DataProvider
    public Object[][] unusableFiles() {
        byte[] latin1 = "kind = \"fleet\"\n# \u00e9\n".getBytes(StandardCharsets.ISO_8859_1);
        return new Object[][] {
            {latin1, ":2: is not UTF-8 from here on"},
            {"kind = \"\u00e9".getBytes(StandardCharsets.UTF_8), ":1:"},
            {new byte[OperatorFiles.MAX_FILE_BYTES + 1], ": is longer than 1048576 bytes"},
            {("kind = 1\na = " + "[".repeat(20_000)).getBytes(StandardCharsets.UTF_8), ":2: brackets are nested"},
            {null, ": cannot be read: "},
        };
    }

    @Test(dataProvider = "unusableFiles")
    public void unusableFileGivesProblemInsteadOfException(byte[] bytes, String problem) throws IOException {
        Path path = Files.createTempFile("operator", ".toml");
        if (bytes == null) {
            Files.delete(path);
        } else {
            Files.write(path, bytes);
        }
        try {
            String reported = SampleSchema.FILES.read(path).problems().get(0).toString();
            assertTrue(reported.startsWith(path + problem), reported);
        } finally {
            Files.deleteIfExists(path);
        }
    }

    @Test
    public void printedExampleIsValidWithAndWithoutOptionalKeys() {
        String example = SchemaPrinter.example(SampleSchema.KIND);
        for (String text : new String[] {example, example.replaceAll("(?m)^#(\\S)", "$1")}) {
            assertEquals(problems(text), List.of(), text);
        }
        assertTrue(SchemaPrinter.markdown(SampleSchema.KIND)
                .contains("| `title` | a text of 1 to 20 characters on one line | allowed | For people. |"));
    }

    @DataProvider
    public Object[][] invalidSchemas() {
        return new Object[][] {
            {(Runnable) () -> Key.preset("k", Types.wholeNumber(1, 2), "3", "Default out of range.")},
            {(Runnable) () -> Key.preset("k", Types.flag(), "no toml", "Default is not a TOML value.")},
            {(Runnable) () -> Table.required("t", "Same name twice.", SampleSchema.NAME, SampleSchema.NAME)},
            {
                (Runnable) () ->
                        new FileKind("k", "Same name twice.", List.of(() -> SampleSchema.LOG, () -> SampleSchema.LOG))
            },
        };
    }

    @Test(dataProvider = "invalidSchemas", expectedExceptions = IllegalArgumentException.class)
    public void invalidSchemaDeclarationIsRejected(Runnable declaration) {
        declaration.run();
    }
}
