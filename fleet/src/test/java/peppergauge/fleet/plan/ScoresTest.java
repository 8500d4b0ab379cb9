package peppergauge.fleet.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.decide.ForecastOutcome;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.wire.DaemonReport.Server;
import peppergauge.fleet.wire.Json;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.seen.AnswerLevels;
import peppergauge.forecast.trust.TrackRecord;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;

public class ScoresTest {

    private static final long BEGAN_MS = 1_700_000_000_000L;
    private static final long STEP_MS = 5_000;
    private static final double BEFORE = 0.3;

    /** Two daemons, 90 servers in three zones, a hit rate that is set, and what is said at each step. */
    private static final class Fleet {
        private TrackRecord record = new TrackRecord();
        private Scores scores = new Scores(record);
        private final Map<String, AnswerLevels> levels = new HashMap<>();
        private final Map<String, Long> incarnations = new HashMap<>(Map.of("d0", 1L, "d1", 1L));
        private List<Server> servers = new ArrayList<>(IntStream.range(0, 90)
                .mapToObj(i -> new Server("s" + i, "z" + i % 3, -1))
                .toList());
        private ZoneWeights steering = ZoneWeights.NEUTRAL;
        private HitRate said = new HitRate(0.5, 0.45, 0.55);
        private Set<String> questions = Set.of("zone-lost:z0", "zone-lost:z1", "zone-shunned:z0", "replaced:0.4");
        private double hits = BEFORE;
        private int answers = 2_000;
        private boolean old;
        private int next = 100;
        private long nowMs = BEGAN_MS;

        Fleet() {
            incarnations
                    .keySet()
                    .forEach(name -> levels.put(name, new AnswerLevels(-1, many(0, 0), many(0, 0), Map.of())));
        }

        /** So many answers about that long. */
        private static Sum many(long count, double mean) {
            return new Sum(count, count * mean, count * (mean * mean + 0.16));
        }

        private static Sum plus(Sum a, Sum b) {
            return new Sum(a.count() + b.count(), a.sum() + b.sum(), a.squares() + b.squares());
        }

        /** Misses take 1.2, hits 0.7; some answers are of keys that come seldom, unlike ones, and are misses. */
        private AnswerLevels more(AnswerLevels before) {
            Map<Long, Sum> keys = new HashMap<>(before.keys());
            for (long key = 0; key < answers / 10; key++) {
                keys.merge(key, many(1 + key % 2, 1.2), Fleet::plus);
            }
            return new AnswerLevels(
                    -1,
                    plus(before.all(), many(answers, 1.2 - 0.5 * hits)),
                    plus(before.near(), many(answers / 10, 0.7)),
                    keys);
        }

        void run(long ms) {
            for (long end = nowMs + ms; nowMs < end; ) {
                nowMs += STEP_MS;
                Map<String, MergedView.Account> accounts = new HashMap<>();
                incarnations.forEach((name, incarnation) -> {
                    levels.put(
                            name,
                            more(levels.getOrDefault(name, new AnswerLevels(-1, many(0, 0), many(0, 0), Map.of()))));
                    accounts.put(
                            name,
                            new MergedView.Account(
                                    incarnation,
                                    nowMs - 1_000,
                                    null,
                                    List.copyOf(servers),
                                    null,
                                    old && name.equals("d1") ? null : levels.get(name)));
                });
                Map<TrafficKey, Tally.Total> totals =
                        Map.of(new TrafficKey("radio", "a", "z0"), new Tally.Total(0, 0, 0, null));
                scores.step(nowMs, new MergedView(nowMs, totals, accounts, 2), steering);
                questions.forEach(change -> scores.said(change, nowMs, said, said));
            }
        }

        /** @param from a part of what is kept, which is found as the other instead */
        void restart(long downMs, String from, String to) {
            String kept = new String(Json.write(scores.kept()), StandardCharsets.UTF_8).replace(from, to);
            nowMs += downMs;
            record = new TrackRecord();
            scores = new Scores(record);
            try {
                scores.restore(Json.read(kept.getBytes(StandardCharsets.UTF_8), KeptScores.class), nowMs);
            } catch (IllegalArgumentException none) {
                assertFalse(from.isEmpty(), none.toString());
            }
        }

        void lose(String zone) {
            servers.removeIf(server -> server.zone().equals(zone));
        }

        void replace(int count) {
            for (int i = 0; i < count; i++) {
                servers.set(i, new Server("s" + next++, servers.get(i).zone(), -1));
            }
        }

        /** A change, and what follows it. */
        void change(double soonAndSteady, Consumer<Fleet> how) {
            run(300_000);
            how.accept(this);
            hits = soonAndSteady;
            run(300_000);
            hits = BEFORE;
        }
    }

    @DataProvider
    Object[][] changes() {
        ZoneWeights shun = new ZoneWeights(Map.of("radio", Map.of("z0", ZoneWeights.MIN_WEIGHT)));
        ZoneWeights lean = new ZoneWeights(Map.of("radio", Map.of("z0", 0.5)));
        return new Object[][] {
            // What happens after 300 s, and what came of it 300 s later.
            {(Consumer<Fleet>) fleet -> fleet.lose("z0"), 2L, Map.of()},
            {(Consumer<Fleet>) fleet -> fleet.replace(36), 2L, Map.of()},
            {(Consumer<Fleet>) fleet -> fleet.steering = shun, 1L, Map.of("steered-by-steps", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.steering = lean, 0L, Map.of("not-asked", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.lose("z2"), 0L, Map.of("no-answer", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.replace(3), 0L, Map.of("not-asked", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.servers.remove(0), 0L, Map.of("not-asked", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.servers.add(new Server("x", "z0", -1)), 0L, Map.of("not-asked", 1L)},
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.lose("z0");
                    fleet.steering = lean;
                },
                0L,
                Map.of("several-at-once", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.lose("z0");
                    fleet.lose("z1");
                },
                0L,
                Map.of("several-at-once", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.replace(36);
                    fleet.servers.remove(80);
                },
                0L,
                Map.of("several-at-once", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.lose("z0");
                    fleet.run(100_000);
                    fleet.lose("z1");
                },
                1L,
                Map.of("changed-again", 1L, "not-settled", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.lose("z0");
                    fleet.run(50_000);
                    fleet.incarnations.put("d1", 2L);
                },
                0L,
                Map.of("daemons-changed", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.lose("z0");
                    fleet.run(50_000);
                    fleet.incarnations.remove("d1");
                },
                0L,
                Map.of("daemons-changed", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.answers = 0;
                    fleet.run(20_000);
                    fleet.lose("z0");
                },
                0L,
                Map.of("too-few-answers", 2L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.old = true;
                    fleet.lose("z0");
                },
                0L,
                Map.of("daemons-without-levels", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.answers = 400;
                    fleet.lose("z0");
                },
                1L,
                Map.of("unsure", 1L)
            },
        };
    }

    @Test(dataProvider = "changes")
    public void changesThatWereAskedAboutAreScoredOnceAndAllOthersCountedWhyNot(
            Consumer<Fleet> change, long scored, Map<String, Long> unscored) {
        Fleet fleet = new Fleet();
        fleet.run(300_000);
        change.accept(fleet);
        fleet.run(300_000);
        assertEquals(fleet.scores.score().scored(), scored, fleet.scores.score().toString());
        assertEquals(fleet.scores.score().unscored(), unscored);
        fleet.run(600_000);
        assertEquals(fleet.scores.score().scored(), scored, "once");
    }

    @Test
    public void anOutcomeTellsWhatWasSaidBeforeTheChangeAndWhatWasSeenBeforeAndAfterIt() {
        Fleet fleet = new Fleet();
        fleet.run(300_000);
        fleet.lose("z0");
        fleet.hits = 0.48;
        HitRate said = fleet.said;
        fleet.said = new HitRate(0.9, 0.9, 0.9);
        fleet.run(300_000);
        List<ForecastOutcome> last = fleet.scores.score().last();
        assertEquals(last.stream().map(ForecastOutcome::part).toList(), List.of("soon", "steady"));
        for (ForecastOutcome outcome : last) {
            assertEquals(outcome.said(), said, "not what was said later");
            assertEquals(outcome.before(), BEFORE, 0.02);
            assertEquals(outcome.seen(), 0.48, 0.02);
            assertTrue(outcome.held() && outcome.error() > 0 && outcome.error() < Scores.MOST_ERROR, outcome + "");
            assertEquals(outcome.beganMs(), BEGAN_MS + 300_000, 6_000);
        }
    }

    /** Planted: it says 0.5 where 0.2 comes of it; then one that is right. */
    @Test
    public void aWrongForecasterLosesItsSayWithThreeChangesAndGetsItBackWithFiveRightOnes() {
        Fleet fleet = new Fleet();
        for (int change = 1; change <= 3; change++) {
            assertTrue(fleet.record.trusted(), "change " + change);
            fleet.change(0.2, each -> each.replace(36));
        }
        assertFalse(fleet.record.trusted());
        fleet.said = new HitRate(0.2, 0.17, 0.23);
        for (int change = 1; change <= 5; change++) {
            assertFalse(fleet.record.trusted(), "change " + change);
            fleet.change(0.2, each -> each.replace(36));
        }
        assertTrue(fleet.record.trusted());
        assertEquals(fleet.scores.score().scored(), 16);
    }

    @DataProvider
    Object[][] restarts() {
        long day = 86_400_000;
        return new Object[][] {
            {0L, "", "", true},
            {29 * day, "", "", true},
            {-29 * day, "", "", true},
            {31 * day, "", "", false},
            {-31 * day, "", "", false},
            {0L, "\"forecaster\":1", "\"forecaster\":2", false},
            {0L, "\"forecaster\":1", "\"older\":1", false},
            {0L, "\"last\":[", "\"last\":[null,", false},
            {0L, "}]}", "}", false},
            {0L, "\"scored\":4", "\"scored\":3", false},
            {0L, "\"off\":", "\"off\":1", false},
        };
    }

    /** Wrong twice, then a restart, then wrong once more: the sixth outcome takes the say, if the first four count. */
    @Test(dataProvider = "restarts")
    public void trustAndScoresOutliveARestartUnlessTheyAreOldOrAnothers(
            long downMs, String from, String to, boolean kept) {
        Fleet fleet = new Fleet();
        for (int change = 0; change < 3; change++) {
            if (change == 2) {
                fleet.restart(downMs, from, to);
            }
            fleet.change(0.2, each -> each.replace(36));
        }
        assertEquals(fleet.record.trusted(), !kept);
        assertEquals(fleet.scores.score().last().size(), kept ? 6 : 2);
        // What was counted is of no age; what cannot be read is as none.
        assertEquals(fleet.scores.score().scored(), kept || from.isEmpty() ? 6 : 2);
        fleet.restart(0, "", "");
        assertEquals(fleet.record.trusted(), !kept, "the say is back with a restart");
    }

    /** Whoever is right keeps the say, whatever follows. */
    @Property(tries = 20)
    public void aRightForecasterKeepsItsSay(@ForAll @IntRange(min = 0, max = 90) int percent) {
        Fleet fleet = new Fleet();
        double rate = percent / 100.0;
        fleet.said = new HitRate(rate, Math.max(0, rate - 0.01), Math.min(1, rate + 0.01));
        for (int change = 0; change < 4; change++) {
            fleet.change(rate, each -> each.replace(36));
        }
        assertTrue(fleet.record.trusted());
        assertEquals(fleet.scores.score().scored(), 8);
    }
}
