package peppergauge.lab.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks each rule over histories that break it, and over similar histories that do not. */
public class HistoryRulesTest {

    static final RuleLimits LIMITS = RuleLimits.of(20, 1_000, 3_000, 1_000);

    /** Parses lines of time in ms, what, who, whom, id, number and text; a dash is an empty field. */
    static History history(String lines) {
        return new History(Arrays.stream(("0 BEGIN rig - - 0 -;60000 END rig - - 0 -;" + lines).split(";"))
                .map(String::trim)
                .filter(line -> !line.isEmpty())
                .map(HistoryRulesTest::event)
                .toList());
    }

    private static Event event(String line) {
        String[] words = line.replace(" - ", "  ").replaceAll(" -$", " ").split(" ", 7);
        return new Event(
                (long) (1e6 * Double.parseDouble(words[0])),
                EventKind.valueOf(words[1]),
                emptyIfDash(words[2]),
                emptyIfDash(words[3]),
                emptyIfDash(words[4]),
                Long.parseLong(words[5]),
                emptyIfDash(words[6]));
    }

    private static String emptyIfDash(String word) {
        return word.equals("-") ? "" : word;
    }

    private static final String ASKED = "100 ASKED clients s1 a.0 500 safe;";
    private static final String UNSAFE = "100 ASKED clients s1 a.0 500 unsafe;150 ENDED s1 - a.0 0 ";

    @DataProvider
    public static Object[][] histories() {
        return new Object[][] {
            // A request gets one final response, within its deadline plus the slack.
            {ASKED + "600 ENDED s1 - a.0 0 200", "", ""},
            {ASKED + "669 ENDED s1 - a.0 0 504", "", ""},
            {ASKED + "671 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED, "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 200;210 ENDED s1 - a.0 0 200", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 wrong", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 refused", "", ""},
            {ASKED + "110 SENT s1 b a.0 1 GET;200 ENDED s1 - a.0 0 closed", "answer", ""},
            {
                ASKED + "200 ENDED s1 - a.0 0 closed",
                "",
                "answer: request crossed a connection close before any attempt was sent"
            },
            // Only a recorded cause at the request's own sidecar, link or machine is an excuse.
            {
                ASKED + "300 DOWN s1 - - 0 -;300 ENDED s1 - a.0 0 closed;110 SENT s1 b a.0 1 GET",
                "",
                "answer: sidecar was down"
            },
            {ASKED + "700 DOWN s1 - - 0 -;690 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "300 DOWN s2 - - 0 -;900 ENDED s1 - a.0 0 504", "answer", ""},
            // A sidecar that got no CPU time is excused for as long as it waited; the wait of another one is no excuse.
            {
                ASKED + "2000 ENDED s1 - a.0 0 gave up;1500 WAITED s1 - - 1400 200000000",
                "",
                "answer: sidecar got no CPU time"
            },
            {ASKED + "2000 ENDED s1 - a.0 0 gave up;1500 WAITED s1 - - 1300 200000000", "answer", ""},
            {ASKED + "2000 ENDED s1 - a.0 0 gave up;1500 WAITED s2 - - 1400 200000000", "answer", ""},
            {ASKED + "2000 ENDED s1 - a.0 0 gave up;5000 WAITED s1 - - 1400 2100000000", "answer", ""},
            {ASKED + "200 ENDED s1 - a.0 0 closed;110 SENT s1 b a.0 1 GET;150 WAITED s1 - - 1400 0", "answer", ""},
            {ASKED + "9000 WAITED s1 - - 8000 200000000", "answer", ""},
            {
                ASKED + "300 STOPPED s1 - - 0 -;800 CONTINUED s1 - - 0 -;810 ENDED s1 - a.0 0 504",
                "",
                "answer: sidecar was paused"
            },
            {ASKED + "10 STOPPED s1 - - 0 -;90 CONTINUED s1 - - 0 -;810 ENDED s1 - a.0 0 504", "answer", ""},
            {
                ASKED + "50 TERMINATED s1 - - 0 -;1500 ENDED s1 - a.0 0 gave up",
                "",
                "answer: sidecar had received SIGTERM"
            },
            {ASKED + "300 TERMINATED s1 - - 0 -;1500 ENDED s1 - a.0 0 gave up", "answer", ""},
            {
                ASKED + "300 FAULT clients>s1 - 1 0 drop;400 HEALED clients>s1 - 1 0 drop;900 ENDED s1 - a.0 0 gave up",
                "",
                "answer: client link was faulty"
            },
            {ASKED + "300 FAULT s1>b - 1 0 drop;400 HEALED s1>b - 1 0 drop;900 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED + "400 LATE b - - 100 -;760 ENDED s1 - a.0 0 504", "", "answer: scheduling delay of the machine"},
            {ASKED + "400 LATE b - - 60 -;500 LATE c - - 60 -;760 ENDED s1 - a.0 0 504", "answer", ""},
            {ASKED + "400 LATE b - - 400 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            // Time in the rig does not count: the limit is from when the sidecar had the request until it responded.
            {
                ASKED + "105 HANDED clients s1 a.0 0 -;674 REPLIED s1 - a.0 0 200;900 ENDED s1 - a.0 0 200",
                "",
                "answer: response was in time; the rig relayed it late"
            },
            {ASKED + "105 HANDED clients s1 a.0 0 -;676 REPLIED s1 - a.0 0 200;900 ENDED s1 - a.0 0 200", "answer", ""},
            {
                ASKED + "105 HANDED clients s1 a.0 0 -;674 REPLIED s1 - a.0 0 200;2000 ENDED s1 - a.0 0 gave up",
                "",
                "answer: response was in time; the rig relayed it late"
            },
            {ASKED + "105 HANDED clients s1 a.0 0 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {
                ASKED + "1431 HANDED clients s1 a.0 0 -;2000 ENDED s1 - a.0 0 gave up",
                "",
                "answer: the rig relayed the request late"
            },
            {ASKED + "1429 HANDED clients s1 a.0 0 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED + "1431 HANDED clients s1 b.0 0 -;2000 ENDED s1 - a.0 0 gave up", "answer", ""},
            {ASKED + "105 HANDED clients s1 a.0 0 -", "answer", ""},
            {ASKED + "105 HANDED clients s1 a.0 0 -;200 REPLIED s1 - a.0 0 200;300 ENDED s1 - a.0 0 wrong", "answer", ""
            },
            {
                ASKED + "200 HUNG_UP s1 - a.0 2000 -;200 ENDED s1 - a.0 0 closed",
                "",
                "answer: request crossed the close of an idle connection"
            },
            {
                ASKED + "200 HUNG_UP s1 - a.0 1999 -;200 ENDED s1 - a.0 0 closed",
                "",
                "answer: request crossed a connection close before any attempt was sent"
            },
            {
                ASKED + "105 HANDED clients s1 a.0 0 -;200 HUNG_UP s1 - a.0 2000 -;200 ENDED s1 - a.0 0 closed",
                "",
                "answer: request crossed a connection close before any attempt was sent"
            },
            // An unsafe request is executed at most once.
            {UNSAFE + "200;110 BEGUN b - a.0 0 POST", "", ""},
            {UNSAFE + "200;110 BEGUN b - a.0 0 POST;120 BEGUN c - a.0 0 POST", "twice", ""},
            {
                UNSAFE + "503;200 ASKED clients s1 a.1 500 unsafe;260 ENDED s1 - a.1 0 200;110 BEGUN b - a.0 0 POST;"
                        + "210 BEGUN b - a.1 0 POST",
                "twice",
                ""
            },
            {UNSAFE + "503;110 BEGUN b - a.0 0 POST", "twice", ""},
            {UNSAFE + "503;110 TURNED_AWAY b - a.0 0 -", "", ""},
            {ASKED + "150 ENDED s1 - a.0 0 200;110 BEGUN b - a.0 0 GET;120 BEGUN c - a.0 0 GET", "", ""},
            // A request has one attempt in flight at a time.
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
                "one-attempt: scheduling delay of the machine"
            },
            {"100 SENT s1 b a.0 1 GET;200 SENT s2 c a.0 2 GET", "", ""},
            // A draining server gets no new attempts.
            {"100 TOLD s1 b - 0 leaving;1140 SENT s1 b a.0 1 GET", "", ""},
            {"100 TOLD s1 b - 0 leaving;1160 SENT s1 b a.0 1 GET", "drain", ""},
            {"100 TOLD s1 b - 0 left;900 TOLD s1 b - 0 left;1160 SENT s1 b a.0 1 GET", "drain", ""},
            {"100 TOLD s2 b - 0 leaving;1160 SENT s1 b a.0 1 GET", "", ""},
            {"100 TOLD s1 b - 0 leaving;900 TOLD s1 b - 0 active;1160 SENT s1 b a.0 1 GET", "", ""},
            {"100 TOLD s1 b - 0 leaving;500 DOWN s1 - - 0 -;900 UP s1 - - 0 -;1160 SENT s1 b a.0 1 GET", "", ""},
            {
                "100 TOLD s1 b - 0 leaving;500 STOPPED s1 - - 0 -;1100 CONTINUED s1 - - 0 -;1160 SENT s1 b a.0 1 GET",
                "",
                "drain: sidecar was paused"
            },
            // A process takes no older fleet table.
            {"1 TABLE s1 - - 4 -;2 TABLE s1 - - 4 -;3 TABLE s1 - - 5 -;4 TABLE s2 - - 3 -", "", ""},
            {"1 TABLE s1 - - 5 -;2 TABLE s1 - - 4 -", "version", ""},
            {"1 TABLE s1 - - 5 -;2 DOWN s1 - - 0 -;3 UP s1 - - 0 -;4 TABLE s1 - - 4 -", "", ""},
            // A process exits that was not terminated.
            {"1 LOST s1 - - 0 out of memory", "process", ""},
        };
    }

    @Test(dataProvider = "histories")
    public void reportsExactlyTheBrokenRuleAndTheExcuse(String lines, String broken, String excuse) {
        Verdict verdict = HistoryRules.check(history(lines), LIMITS);
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

    /** Returns ten seconds of fifty requests per second; within the span each {@code every}th one is rejected. */
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
    public void reportsServiceThatDoesNotRecoverInTime(String load, String broken) {
        Verdict verdict =
                HistoryRules.check(history(load + ";2000 FAULT s1>b - 1 0 drop;4000 HEALED s1>b - 1 0 drop"), LIMITS);
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
            // Faults of one round excuse neither the round before nor the round after.
            {load(7_000, 60_000, 1), 6_000, "back"}, {load(2_000, 4_900, 1), 5_100, "back"},
            {load(2_000, 4_900, 1), 6_000, ""},
        };
    }

    @Test(dataProvider = "rounds")
    public void checksRecoveryOfEachRoundOnItsOwn(String load, int secondMs, String broken) {
        Verdict verdict = HistoryRules.check(
                history(load + ";0 ROUND rig - - 0 -;2000 FAULT s1>b - 1 0 drop;"
                        + "4000 HEALED s1>b - 1 0 drop;" + secondMs + " ROUND rig - - 0 -;7000 FAULT s1>b - 2 0 drop;"
                        + "7100 HEALED s1>b - 2 0 drop"),
                LIMITS);
        assertEquals(
                verdict.rules(),
                broken.isEmpty() ? Set.of() : Set.of(broken),
                verdict.broken().toString());
        assertEquals(verdict.checked().get("back"), Integer.valueOf(2));
    }

    /** A rule that is broken many times must not hide another one. */
    @Test
    public void reportsEveryBrokenRule() {
        String duplicates = IntStream.range(0, 200)
                .mapToObj(i -> "1 ASKED clients s1 x" + i + ".0 500 unsafe;" + "2 ENDED s1 - x" + i
                        + ".0 0 200;1 BEGUN b - x" + i + ".0 0 POST;1 BEGUN c - x" + i + ".0 0 POST;")
                .collect(Collectors.joining());
        assertEquals(
                HistoryRules.check(history(duplicates + "9 LOST s1 - - 0 gone"), LIMITS)
                        .rules(),
                Set.of("twice", "process"));
    }

    /** Many threads and processes write events, so the verdict must not depend on the order of writes. */
    @Test
    public void verdictIsIndependentOfTheOrderOfWrites() {
        for (Object[] row : histories()) {
            List<Event> events = new ArrayList<>(history((String) row[0]).events());
            for (int seed = 0; seed < 20; seed++) {
                Collections.shuffle(events, new Random(seed));
                assertEquals(
                        HistoryRules.check(new History(events), LIMITS).rules(),
                        ((String) row[1]).isEmpty() ? Set.of() : Set.of((String) row[1]),
                        (String) row[0]);
            }
        }
    }

    @Test
    public void eventIsReadAsItWasWritten() {
        Event event = new Event(5, EventKind.BEGUN, "b", "", "a.0", 7, "POST \"x\"\n");
        assertEquals(Event.read(event.json()), event);
        assertTrue(!event.json().contains("\n"), "event is written on one line");
    }
}
