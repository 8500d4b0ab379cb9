package peppergauge.fleet.planning;

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
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastOutcome;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.wire.DaemonReport.Server;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.observation.ResponseTimes;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;

public class ForecastScorerTest {

    private static final long START_MS = 1_700_000_000_000L;
    private static final long STEP_MS = 5_000;
    private static final double RATE_BEFORE = 0.3;

    /** Two daemons, 90 servers in three zones, a configurable hit rate, and a forecast at each step. */
    private static final class Fleet {
        private ForecastAccuracy record = new ForecastAccuracy();
        private ForecastScorer scores = new ForecastScorer(record);
        private final Map<String, ResponseTimes> responseTimes = new HashMap<>();
        private final Map<String, Long> incarnations = new HashMap<>(Map.of("d0", 1L, "d1", 1L));
        private List<Server> servers = new ArrayList<>(IntStream.range(0, 90)
                .mapToObj(i -> new Server("s" + i, "z" + i % 3, -1))
                .toList());
        private ZoneWeights weights = ZoneWeights.NEUTRAL;
        private HitRate said = new HitRate(0.5, 0.45, 0.55);
        private Set<String> queries = Set.of("zone-lost:z0", "zone-lost:z1", "zone-shunned:z0", "replaced:0.4");
        private double hitRate = RATE_BEFORE;
        private int responses = 2_000;
        private boolean withoutResponseTimes;
        private int nextServer = 100;
        private long nowMs = START_MS;

        Fleet() {
            incarnations
                    .keySet()
                    .forEach(name -> responseTimes.put(name, new ResponseTimes(-1, sum(0, 0), sum(0, 0), Map.of())));
        }

        /** Returns the sum of a number of responses with a mean service time. */
        private static Sum sum(long count, double mean) {
            return new Sum(count, count * mean, count * (mean * mean + 0.16));
        }

        private static Sum plus(Sum a, Sum b) {
            return new Sum(a.count() + b.count(), a.sum() + b.sum(), a.squares() + b.squares());
        }

        /** Adds responses: misses take 1.2, hits 0.7, and those of rare keys are misses. */
        private ResponseTimes withMoreResponses(ResponseTimes before) {
            Map<Long, Sum> keys = new HashMap<>(before.keys());
            for (long key = 0; key < responses / 10; key++) {
                keys.merge(key, sum(1 + key % 2, 1.2), Fleet::plus);
            }
            return new ResponseTimes(
                    -1,
                    plus(before.all(), sum(responses, 1.2 - 0.5 * hitRate)),
                    plus(before.near(), sum(responses / 10, 0.7)),
                    keys);
        }

        void run(long ms) {
            for (long end = nowMs + ms; nowMs < end; ) {
                nowMs += STEP_MS;
                Map<String, FleetView.DaemonView> daemonViews = new HashMap<>();
                incarnations.forEach((name, incarnation) -> {
                    responseTimes.put(
                            name,
                            withMoreResponses(responseTimes.getOrDefault(
                                    name, new ResponseTimes(-1, sum(0, 0), sum(0, 0), Map.of()))));
                    daemonViews.put(
                            name,
                            new FleetView.DaemonView(
                                    incarnation,
                                    nowMs - 1_000,
                                    null,
                                    List.copyOf(servers),
                                    null,
                                    withoutResponseTimes && name.equals("d1") ? null : responseTimes.get(name)));
                });
                Map<TrafficKey, TrafficTotals.Total> totals =
                        Map.of(new TrafficKey("radio", "a", "z0"), new TrafficTotals.Total(0, 0, 0, null));
                scores.step(nowMs, new FleetView(nowMs, totals, daemonViews, 2), weights);
                queries.forEach(change -> scores.onForecast(change, nowMs, said, said));
            }
        }

        /** @param from part of the stored JSON to replace by {@code to} */
        void restart(long downMs, String from, String to) {
            String json = new String(JsonCodec.write(scores.exportState()), StandardCharsets.UTF_8).replace(from, to);
            nowMs += downMs;
            record = new ForecastAccuracy();
            scores = new ForecastScorer(record);
            try {
                scores.importState(JsonCodec.read(json.getBytes(StandardCharsets.UTF_8), PersistedScores.class), nowMs);
            } catch (IllegalArgumentException none) {
                assertFalse(from.isEmpty(), none.toString());
            }
        }

        void loseZone(String zone) {
            servers.removeIf(server -> server.zone().equals(zone));
        }

        void replaceServers(int count) {
            for (int i = 0; i < count; i++) {
                servers.set(i, new Server("s" + nextServer++, servers.get(i).zone(), -1));
            }
        }

        /** Applies a change, and a hit rate for the 300 s after it. */
        void change(double rateAfter, Consumer<Fleet> action) {
            run(300_000);
            action.accept(this);
            hitRate = rateAfter;
            run(300_000);
            hitRate = RATE_BEFORE;
        }
    }

    @DataProvider
    Object[][] changes() {
        ZoneWeights shunned = new ZoneWeights(Map.of("radio", Map.of("z0", ZoneWeights.MIN_WEIGHT)));
        ZoneWeights reduced = new ZoneWeights(Map.of("radio", Map.of("z0", 0.5)));
        return new Object[][] {
            // Change after 300 s, expected scores 300 s later.
            {(Consumer<Fleet>) fleet -> fleet.loseZone("z0"), 2L, Map.of()},
            {(Consumer<Fleet>) fleet -> fleet.replaceServers(36), 2L, Map.of()},
            {(Consumer<Fleet>) fleet -> fleet.weights = shunned, 1L, Map.of("steered-by-steps", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.weights = reduced, 0L, Map.of("not-asked", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.loseZone("z2"), 0L, Map.of("no-answer", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.replaceServers(3), 0L, Map.of("not-asked", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.servers.remove(0), 0L, Map.of("not-asked", 1L)},
            {(Consumer<Fleet>) fleet -> fleet.servers.add(new Server("x", "z0", -1)), 0L, Map.of("not-asked", 1L)},
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.loseZone("z0");
                    fleet.weights = reduced;
                },
                0L,
                Map.of("several-at-once", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.loseZone("z0");
                    fleet.loseZone("z1");
                },
                0L,
                Map.of("several-at-once", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.replaceServers(36);
                    fleet.servers.remove(80);
                },
                0L,
                Map.of("several-at-once", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.loseZone("z0");
                    fleet.run(100_000);
                    fleet.loseZone("z1");
                },
                1L,
                Map.of("changed-again", 1L, "not-settled", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.loseZone("z0");
                    fleet.run(50_000);
                    fleet.incarnations.put("d1", 2L);
                },
                0L,
                Map.of("daemons-changed", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.loseZone("z0");
                    fleet.run(50_000);
                    fleet.incarnations.remove("d1");
                },
                0L,
                Map.of("daemons-changed", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.responses = 0;
                    fleet.run(20_000);
                    fleet.loseZone("z0");
                },
                0L,
                Map.of("too-few-answers", 2L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.withoutResponseTimes = true;
                    fleet.loseZone("z0");
                },
                0L,
                Map.of("daemons-without-levels", 1L)
            },
            {
                (Consumer<Fleet>) fleet -> {
                    fleet.responses = 400;
                    fleet.loseZone("z0");
                },
                1L,
                Map.of("unsure", 1L)
            },
        };
    }

    @Test(dataProvider = "changes")
    public void scoresRecognizedChangesOnceAndCountsReasonsForOthers(
            Consumer<Fleet> change, long scored, Map<String, Long> unscored) {
        Fleet fleet = new Fleet();
        fleet.run(300_000);
        change.accept(fleet);
        fleet.run(300_000);
        assertEquals(fleet.scores.score().scored(), scored, fleet.scores.score().toString());
        assertEquals(fleet.scores.score().unscored(), unscored);
        fleet.run(600_000);
        assertEquals(fleet.scores.score().scored(), scored, "expected each change to be scored once");
    }

    @Test
    public void outcomeHasForecastBeforeChangeAndObservedRates() {
        Fleet fleet = new Fleet();
        fleet.run(300_000);
        fleet.loseZone("z0");
        fleet.hitRate = 0.48;
        HitRate said = fleet.said;
        fleet.said = new HitRate(0.9, 0.9, 0.9);
        fleet.run(300_000);
        List<ForecastOutcome> last = fleet.scores.score().last();
        assertEquals(last.stream().map(ForecastOutcome::part).toList(), List.of("soon", "steady"));
        for (ForecastOutcome outcome : last) {
            assertEquals(outcome.said(), said, "expected the forecast from before the change");
            assertEquals(outcome.before(), RATE_BEFORE, 0.02);
            assertEquals(outcome.seen(), 0.48, 0.02);
            assertTrue(
                    outcome.held() && outcome.error() > 0 && outcome.error() < ForecastScorer.MAX_STANDARD_ERROR,
                    outcome + "");
            assertEquals(outcome.beganMs(), START_MS + 300_000, 6_000);
        }
    }

    /** The forecast is 0.5 where 0.2 is observed, and later 0.2. */
    @Test
    public void losesTrustAfterThreeWrongChangesAndRegainsItAfterFiveCorrectOnes() {
        Fleet fleet = new Fleet();
        for (int change = 1; change <= 3; change++) {
            assertTrue(fleet.record.isTrusted(), "change " + change);
            fleet.change(0.2, each -> each.replaceServers(36));
        }
        assertFalse(fleet.record.isTrusted());
        fleet.said = new HitRate(0.2, 0.17, 0.23);
        for (int change = 1; change <= 5; change++) {
            assertFalse(fleet.record.isTrusted(), "change " + change);
            fleet.change(0.2, each -> each.replaceServers(36));
        }
        assertTrue(fleet.record.isTrusted());
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

    /** After two wrong changes and a restart, a third one ends trust only if four outcomes were restored. */
    @Test(dataProvider = "restarts")
    public void restoresTrustAndScoresUnlessOldOrUnusable(long downMs, String from, String to, boolean restored) {
        Fleet fleet = new Fleet();
        for (int change = 0; change < 3; change++) {
            if (change == 2) {
                fleet.restart(downMs, from, to);
            }
            fleet.change(0.2, each -> each.replaceServers(36));
        }
        assertEquals(fleet.record.isTrusted(), !restored);
        assertEquals(fleet.scores.score().last().size(), restored ? 6 : 2);
        // The count of scores does not expire; an unreadable state counts as none.
        assertEquals(fleet.scores.score().scored(), restored || from.isEmpty() ? 6 : 2);
        fleet.restart(0, "", "");
        assertEquals(fleet.record.isTrusted(), !restored, "expected trust to be as before the restart");
    }

    /** Correct forecasts keep trust, whatever the hit rate after a change. */
    @Property(tries = 20)
    public void correctForecasterKeepsTrust(@ForAll @IntRange(min = 0, max = 90) int percent) {
        Fleet fleet = new Fleet();
        double rate = percent / 100.0;
        fleet.said = new HitRate(rate, Math.max(0, rate - 0.01), Math.min(1, rate + 0.01));
        for (int change = 0; change < 4; change++) {
            fleet.change(rate, each -> each.replaceServers(36));
        }
        assertTrue(fleet.record.isTrusted());
        assertEquals(fleet.scores.score().scored(), 8);
    }
}
