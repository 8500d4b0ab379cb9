package peppergauge.lab.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Each rule over a history that it must find broken, and over one beside it that it must not. */
public class RulesTest {

    private static final Bounds BOUNDS = Bounds.of(20, 1_000, 3_000, 1_000);

    /** A line is: ms, what, who, whom, id, number, text; a dash stands for nothing. */
    static History history(String lines) {
        return new History(Arrays.stream(("0 BEGIN rig - - 0 -;60000 END rig - - 0 -;" + lines).split(";"))
                .map(String::trim)
                .filter(line -> !line.isEmpty())
                .map(RulesTest::event)
                .toList());
    }

    private static Event event(String line) {
        String[] words = line.replace(" - ", "  ").replaceAll(" -$", " ").split(" ", 7);
        return new Event(
                (long) (1e6 * Double.parseDouble(words[0])),
                What.valueOf(words[1]),
                none(words[2]),
                none(words[3]),
                none(words[4]),
                Long.parseLong(words[5]),
                none(words[6]));
    }

    private static String none(String word) {
        return word.equals("-") ? "" : word;
    }

    private static final String ASKED = "100 ASKED clients s1 a.0 500 safe;";
    private static final String GIFT = "100 ASKED clients s1 a.0 500 unsafe;150 ENDED s1 - a.0 0 ";

    /** What s1 says is in force, 1 ms after it was asked. */
    private static String leans(double atMs, long version, long leftMs, double factor) {
        return atMs + " STEERED s1 - - " + version + ' '
                + new Leaning(1, leftMs, factor == 1 ? Map.of() : Map.of("radio", Map.of("east", factor))).json() + ';';
    }

    @DataProvider
    public static Object[][] leanings() {
        String down = "20000 DOWN s1 - - 0 -;20300 UP s1 - - 0 -;";
        String ended = "20000 TERMINATED s1 - - 0 -;20300 UP s1 - - 0 -;";
        return new Object[][] {
            // A step each second, in either direction; one may come right after the first look.
            {leans(100, 5, 9_000, 1) + leans(400, 5, 8_700, 0.9) + leans(1_500, 5, 7_600, 0.8), "", ""},
            {leans(100, 5, 9_000, 0.5) + leans(400, 5, 8_700, 0.6), "", ""},
            {leans(100, 5, 9_000, 0.5) + leans(3_300, 5, 5_800, 0.9), "", ""},
            {leans(100, 5, 9_000, 1) + leans(400, 5, 8_700, 0.89), "step", ""},
            {leans(100, 5, 9_000, 0.5) + leans(400, 5, 8_700, 0.61), "step", ""},
            {leans(100, 5, 9_000, 0.5) + leans(3_000, 5, 6_100, 0.9), "step", ""},
            // No two looks are far apart, and all of them are.
            {leans(100, 5, 9_000, 1) + leans(400, 5, 8_700, 0.9) + leans(700, 5, 8_400, 0.8), "step", ""},
            {leans(100, 5, 9_000, 1) + leans(400, 6, 9_000, 0.95) + leans(700, 6, 8_700, 0.89), "step", ""},
            {
                leans(100, 5, 9_000, 1) + leans(400, 5, 8_700, 0.9) + leans(800, 5, 8_300, 0.8)
                        + "600 LATE rig - - 400 -",
                "",
                "step: the machine let all wait"
            },
            // Range.
            {leans(100, 5, 9_000, 0.05) + leans(400, 5, 9_000, 0.05), "", ""},
            {leans(100, 5, 9_000, 0.04), "step", ""},
            {leans(100, 5, 9_000, 1.01), "step", ""},
            // Without a table, or with one whose lease is over, all are 1; how far that is does not matter.
            {leans(100, 0, 0, 1) + leans(400, 0, 0, 1), "", ""},
            {leans(100, 0, 0, 0.95), "step", ""},
            {leans(100, 5, 200, 0.3) + leans(400, 5, -100, 1), "", ""},
            {leans(100, 5, 400, 0.3) + leans(400, 5, 100, 1), "step", ""},
            {leans(100, 5, 200, 0.3) + leans(330, 5, -30, 0.3), "", ""},
            {leans(100, 5, 200, 0.3) + leans(400, 5, -100, 0.3), "step", ""},
            {
                leans(100, 5, 200, 0.3) + leans(400, 5, -100, 0.3) + "420 LATE rig - - 200 -",
                "",
                "step: the machine let all wait"
            },
            {
                leans(100, 5, 200, 0.3) + "200 STOPPED s1 - - 0 -;390 CONTINUED s1 - - 0 -;" + leans(400, 5, -100, 0.3),
                "",
                "step: its sidecar stood still"
            },
            // Between two looks it was over, and another table came: from no steering at all.
            {leans(100, 5, 200, 0.3) + leans(400, 6, 9_000, 0.9), "", ""},
            {leans(100, 5, 200, 0.3) + leans(400, 6, 9_000, 0.8), "step", ""},
            {leans(100, 5, 200, 0.95) + leans(400, 6, 9_000, 0.85), "", ""},
            {leans(100, 5, 400, 0.3) + leans(400, 6, 9_000, 0.9), "step", ""},
            // A new process begins with none. What answers while it starts may be either one.
            {
                leans(19_900, 5, 9_000, 0.3)
                        + down
                        + leans(20_100, 5, 8_000, 0.3)
                        + leans(20_200, 0, 0, 1)
                        + leans(20_400, 6, 9_000, 0.9)
                        + leans(21_500, 6, 9_000, 0.8),
                "",
                ""
            },
            {
                leans(19_900, 5, 9_000, 0.3)
                        + ended
                        + leans(20_100, 5, 8_000, 0.3)
                        + leans(20_200, 0, 0, 1)
                        + leans(20_400, 6, 9_000, 0.9)
                        + leans(21_500, 6, 9_000, 0.8),
                "",
                ""
            },
            {leans(19_900, 5, 9_000, 0.3) + down + leans(20_400, 6, 9_000, 0.3), "step", ""},
            {leans(19_900, 5, 9_000, 0.8) + ended + leans(20_400, 6, 9_000, 0.8), "step", ""},
            {
                leans(19_900, 5, 9_000, 0.3) + down + leans(20_400, 6, 9_000, 0.9) + leans(20_700, 6, 9_000, 0.8),
                "step",
                ""
            },
            {leans(19_900, 5, 9_000, 0.3) + down + leans(20_200, 0, 0, 0.9), "step", ""},
            // Another reader's are its own.
            {leans(100, 5, 9_000, 1) + leans(400, 5, 9_000, 0.3).replace("s1", "s2"), "", ""},
        };
    }

    @Test(dataProvider = "leanings")
    public void whatIsInForceMovesByBoundedSteps(String lines, String broken, String excuse) {
        Verdict verdict = Rules.check(history(lines), BOUNDS.stepping(0.1, 1_000));
        assertEquals(
                verdict.rules(),
                broken.isEmpty() ? Set.of() : Set.of(broken),
                verdict.broken().toString());
        assertEquals(verdict.excused().keySet(), excuse.isEmpty() ? Set.of() : Set.of(excuse));
        assertEquals(verdict.checked().get("step"), Integer.valueOf(lines.split("STEERED").length - 1));
    }

    @DataProvider
    public static Object[][] histories() {
        return new Object[][] {
            // One final answer, by the deadline and the slack.
            {ASKED + "600 ENDED s1 - a.0 0 200", "", ""},
            {ASKED + "669 ENDED s1 - a.0 0 504", "", ""},
            {ASKED + "671 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED, "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 200;210 ENDED s1 - a.0 0 200", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 wrong", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 refused", "", ""},
            {ASKED + "110 SENT s1 b a.0 1 GET;200 ENDED s1 - a.0 0 closed", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 closed", "", "answer: crossed a close, nothing was sent"},
            // What was recorded of its sidecar, its link or the machine, and only that, is an excuse.
            {
                ASKED + "300 DOWN s1 - - 0 -;300 ENDED s1 - a.0 0 closed;110 SENT s1 b a.0 1 GET",
                "",
                "answer: its sidecar was down"
            },
            {ASKED + "700 DOWN s1 - - 0 -;690 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "300 DOWN s2 - - 0 -;900 ENDED s1 - a.0 0 504", "answer", ""},
            // It had no CPU for as long as its client waited beyond the limit; a neighbour's wait excuses nobody else.
            {
                ASKED + "2000 ENDED s1 - a.0 0 gave up;1500 WAITED s1 - - 1400 200000000",
                "",
                "answer: its sidecar got no CPU"
            },
            {ASKED + "2000 ENDED s1 - a.0 0 gave up;1500 WAITED s1 - - 1300 200000000", "answer", ""},
            {ASKED + "2000 ENDED s1 - a.0 0 gave up;1500 WAITED s2 - - 1400 200000000", "answer", ""},
            {ASKED + "2000 ENDED s1 - a.0 0 gave up;5000 WAITED s1 - - 1400 2100000000", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 closed;110 SENT s1 b a.0 1 GET;150 WAITED s1 - - 1400 0", "answer", ""},
            {ASKED + "9000 WAITED s1 - - 8000 200000000", "answer", ""},
            {
                ASKED + "300 STOPPED s1 - - 0 -;800 CONTINUED s1 - - 0 -;810 ENDED s1 - a.0 0 504",
                "",
                "answer: its sidecar stood still"
            },
            {ASKED + "10 STOPPED s1 - - 0 -;90 CONTINUED s1 - - 0 -;810 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "50 TERMINATED s1 - - 0 -;1500 ENDED s1 - a.0 0 gave up", "", "answer: its sidecar had got SIGTERM"
            },
            {ASKED + "300 TERMINATED s1 - - 0 -;1500 ENDED s1 - a.0 0 gave up", "answer", ""},
            {
                ASKED + "300 FAULT clients>s1 - 1 0 drop;400 HEALED clients>s1 - 1 0 drop;900 ENDED s1 - a.0 0 gave up",
                "",
                "answer: its client's link was faulty"
            },
            {ASKED + "300 FAULT s1>b - 1 0 drop;400 HEALED s1>b - 1 0 drop;900 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED + "400 LATE b - - 100 -;760 ENDED s1 - a.0 0 504", "", "answer: the machine let all wait"},
            {ASKED + "400 LATE b - - 60 -;500 LATE c - - 60 -;760 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "400 LATE b - - 400 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            // The rig's own carrying: from when the sidecar had the request to when its answer was read, if it came.
            {
                ASKED + "105 HANDED clients s1 a.0 0 -;674 REPLIED s1 - a.0 0 200;900 ENDED s1 - a.0 0 200",
                "",
                "answer: answered in time, and the rig was late with it"
            },
            {ASKED + "105 HANDED clients s1 a.0 0 -;676 REPLIED s1 - a.0 0 200;900 ENDED s1 - a.0 0 200", "answer", ""},
            {
                ASKED + "105 HANDED clients s1 a.0 0 -;674 REPLIED s1 - a.0 0 200;2000 ENDED s1 - a.0 0 gave up",
                "",
                "answer: answered in time, and the rig was late with it"
            },
            {ASKED + "105 HANDED clients s1 a.0 0 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {
                ASKED + "1431 HANDED clients s1 a.0 0 -;2000 ENDED s1 - a.0 0 gave up",
                "",
                "answer: the rig was late with its request"
            },
            {ASKED + "1429 HANDED clients s1 a.0 0 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED + "1431 HANDED clients s1 b.0 0 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED + "105 HANDED clients s1 a.0 0 -", "answer", ""},
            {ASKED + "105 HANDED clients s1 a.0 0 -;200 REPLIED s1 - a.0 0 200;300 ENDED s1 - a.0 0 wrong", "answer", ""
            },
            {
                ASKED + "200 HUNG_UP s1 - a.0 2000 -;200 ENDED s1 - a.0 0 closed",
                "",
                "answer: crossed the close of an idle connection"
            },
            {
                ASKED + "200 HUNG_UP s1 - a.0 1999 -;200 ENDED s1 - a.0 0 closed",
                "",
                "answer: crossed a close, nothing was sent"
            },
            {
                ASKED + "105 HANDED clients s1 a.0 0 -;200 HUNG_UP s1 - a.0 2000 -;200 ENDED s1 - a.0 0 closed",
                "",
                "answer: crossed a close, nothing was sent"
            },
            // A donation.
            {GIFT + "200;110 BEGUN b - a.0 0 POST", "", ""},
            {GIFT + "200;110 BEGUN b - a.0 0 POST;120 BEGUN c - a.0 0 POST", "twice", ""},
            {
                GIFT + "503;200 ASKED clients s1 a.1 500 unsafe;260 ENDED s1 - a.1 0 200;110 BEGUN b - a.0 0 POST;"
                        + "210 BEGUN b - a.1 0 POST",
                "twice",
                ""
            },
            {GIFT + "503;110 BEGUN b - a.0 0 POST", "twice", ""},
            {GIFT + "503;110 TURNED_AWAY b - a.0 0 -", "", ""},
            {ASKED + "150 ENDED s1 - a.0 0 200;110 BEGUN b - a.0 0 GET;120 BEGUN c - a.0 0 GET", "", ""},
            // One attempt at a time.
            {"100 SENT s1 b a.0 1 GET;200 SENT s1 c a.0 2 GET;210 SETTLED s1 b a.0 1 closed", "", ""},
            {"100 SENT s1 b a.0 1 GET;200 SENT s1 c a.0 2 GET;260 SETTLED s1 b a.0 1 closed", "one-attempt", ""},
            {"100 SENT s1 b a.0 1 GET;200 SENT s1 b a.0 2 GET;260 SETTLED s1 b a.0 1 closed", "one-attempt", ""},
            {"100 SENT s1 b a.0 1 GET;200 SENT s1 c a.0 2 GET", "one-attempt", ""},
            {
                "100 SENT s1 b a.0 1 GET;150 SETTLED s1 b a.0 1 closed;200 SENT s1 b a.0 2 GET;300 SENT s1 c a.0 3 GET;"
                        + "900 SETTLED s1 b a.0 2 closed",
                "one-attempt",
                ""
            },
            {
                "100 SENT s1 b a.0 1 GET;200 SENT s1 c a.0 2 GET;260 SETTLED s1 b a.0 1 answered;255 LATE rig - - 30 -",
                "",
                "one-attempt: the machine let all wait"
            },
            {"100 SENT s1 b a.0 1 GET;200 SENT s2 c a.0 2 GET", "", ""},
            // Nothing new to a server that leaves.
            {"100 TOLD s1 b - 0 leaving;1140 SENT s1 b a.0 1 GET", "", ""},
            {"100 TOLD s1 b - 0 leaving;1160 SENT s1 b a.0 1 GET", "drain", ""},
            {"100 TOLD s1 b - 0 left;900 TOLD s1 b - 0 left;1160 SENT s1 b a.0 1 GET", "drain", ""},
            {"100 TOLD s2 b - 0 leaving;1160 SENT s1 b a.0 1 GET", "", ""},
            {"100 TOLD s1 b - 0 leaving;900 TOLD s1 b - 0 active;1160 SENT s1 b a.0 1 GET", "", ""},
            {"100 TOLD s1 b - 0 leaving;500 DOWN s1 - - 0 -;900 UP s1 - - 0 -;1160 SENT s1 b a.0 1 GET", "", ""},
            {
                "100 TOLD s1 b - 0 leaving;500 STOPPED s1 - - 0 -;1100 CONTINUED s1 - - 0 -;1160 SENT s1 b a.0 1 GET",
                "",
                "drain: its sidecar stood still"
            },
            // Fleet tables.
            {"1 TABLE s1 - - 4 -;2 TABLE s1 - - 4 -;3 TABLE s1 - - 5 -;4 TABLE s2 - - 3 -", "", ""},
            {"1 TABLE s1 - - 5 -;2 TABLE s1 - - 4 -", "version", ""},
            {"1 TABLE s1 - - 5 -;2 DOWN s1 - - 0 -;3 UP s1 - - 0 -;4 TABLE s1 - - 4 -", "", ""},
            // A process that nobody ended.
            {"1 LOST s1 - - 0 out of memory", "process", ""},
        };
    }

    @Test(dataProvider = "histories")
    public void eachRuleFindsWhatBreaksItAndNothingElse(String lines, String broken, String excuse) {
        Verdict verdict = Rules.check(history(lines), BOUNDS);
        assertEquals(
                verdict.rules(),
                broken.isEmpty() ? Set.of() : Set.of(broken),
                verdict.broken().toString());
        assertEquals(
                verdict.excused().keySet().stream()
                        .filter(why -> !why.startsWith("back"))
                        .collect(Collectors.toSet()),
                excuse.isEmpty() ? Set.of() : Set.of(excuse));
    }

    /** Fifty sessions a second; those from a time on fail, until another. */
    static String load(double fromMs, double toMs, int every) {
        return IntStream.range(0, 500)
                .mapToObj(i -> {
                    double at = 20.0 * i;
                    String how = at >= fromMs && at < toMs && i % every == 0 ? "503" : "200";
                    return at + " ASKED clients s1 x" + i + ".0 500 safe;" + (at + 30) + " ENDED s1 - x" + i + ".0 0 "
                            + how;
                })
                .collect(Collectors.joining(";"));
    }

    @DataProvider
    public static Object[][] services() {
        return new Object[][] {
            {load(0, 0, 1), ""}, {load(2_000, 5_000, 1), ""}, {load(2_000, 6_900, 1), ""},
            {load(2_000, 60_000, 1), "back"}, {load(2_000, 60_000, 20), "back"}, {load(0, 60_000, 20), ""},
            {load(2_000, 60_000, 50), ""},
        };
    }

    @Test(dataProvider = "services")
    public void serviceMustBeBackAsUsualInTime(String load, String broken) {
        Verdict verdict =
                Rules.check(history(load + ";2000 FAULT s1>b - 1 0 drop;4000 HEALED s1>b - 1 0 drop"), BOUNDS);
        assertEquals(
                verdict.rules(),
                broken.isEmpty() ? Set.of() : Set.of(broken),
                verdict.broken().toString());
        assertEquals(verdict.checked().get("back"), Integer.valueOf(1));
    }

    @DataProvider
    public static Object[][] rounds() {
        return new Object[][] {
            {load(2_000, 4_000, 1), 6_000, ""}, {load(2_000, 5_500, 1), 6_000, "back"},
            // The next round's faults are no excuse for the one before, nor the other way round.
            {load(7_000, 60_000, 1), 6_000, "back"}, {load(2_000, 4_900, 1), 5_100, "back"},
            {load(2_000, 4_900, 1), 6_000, ""},
        };
    }

    @Test(dataProvider = "rounds")
    public void serviceMustBeBackInEachRound(String load, int secondMs, String broken) {
        Verdict verdict = Rules.check(
                history(load + ";0 ROUND rig - - 0 -;2000 FAULT s1>b - 1 0 drop;"
                        + "4000 HEALED s1>b - 1 0 drop;" + secondMs + " ROUND rig - - 0 -;7000 FAULT s1>b - 2 0 drop;"
                        + "7100 HEALED s1>b - 2 0 drop"),
                BOUNDS);
        assertEquals(
                verdict.rules(),
                broken.isEmpty() ? Set.of() : Set.of(broken),
                verdict.broken().toString());
        assertEquals(verdict.checked().get("back"), Integer.valueOf(2));
    }

    /** One rule that is broken all the time hides no other. */
    @Test
    public void everyBrokenRuleIsNamed() {
        String gifts = IntStream.range(0, 200)
                .mapToObj(i -> "1 ASKED clients s1 x" + i + ".0 500 unsafe;" + "2 ENDED s1 - x" + i
                        + ".0 0 200;1 BEGUN b - x" + i + ".0 0 POST;1 BEGUN c - x" + i + ".0 0 POST;")
                .collect(Collectors.joining());
        assertEquals(
                Rules.check(history(gifts + "9 LOST s1 - - 0 gone"), BOUNDS).rules(), Set.of("twice", "process"));
    }

    /** Many threads and processes write; the verdict must not hang on who came first. */
    @Test
    public void theOrderInWhichEventsWereWrittenDoesNotMatter() {
        for (Object[] row : histories()) {
            List<Event> events = new ArrayList<>(history((String) row[0]).events());
            for (int seed = 0; seed < 20; seed++) {
                Collections.shuffle(events, new Random(seed));
                assertEquals(
                        Rules.check(new History(events), BOUNDS).rules(),
                        ((String) row[1]).isEmpty() ? Set.of() : Set.of((String) row[1]),
                        (String) row[0]);
            }
        }
    }

    @Test
    public void anEventIsWrittenAndRead() {
        Event event = new Event(5, What.BEGUN, "b", "", "a.0", 7, "POST \"x\"\n");
        assertEquals(Event.read(event.json()), event);
        assertTrue(!event.json().contains("\n"), "one line");
    }
}
