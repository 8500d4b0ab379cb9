package peppergauge.fleet.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.decide.Asked;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.ForecastScore;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.wire.DaemonReport.Server;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.forecast.seen.AnswerLevels;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;

public class KeyForecastsTest {

    private static final long BEGAN_MS = 1_700_000_000_000L;
    private static final long PERIOD_MS = 5_000;

    private KeySampler sampler;
    private ServiceTimes times;
    private long seen;

    @BeforeMethod
    public void begin() {
        sampler = new KeySampler(256);
        times = new ServiceTimes(256);
        seen = 0;
    }

    private static List<Server> servers(int zones) {
        return IntStream.range(0, 12)
                .mapToObj(i -> new Server("s" + i, "z" + i % zones, i % 2))
                .toList();
    }

    /** 50 sessions a second of 100 keys, and a memory of 5 s that saves a third. */
    private KeyReport sampledUntil(long ms) {
        for (; seen < ms / 20; seen++) {
            String key = "k" + seen * 37 % 100;
            sampler.seen(key, "a", seen * 20);
            double gapMs = 250 * Math.pow(128, seen * 0.618 % 1);
            times.answered(KeySampler.hash(key), gapMs, (gapMs < 5_000 ? 0.6 : 0.9) + 0.2 * (seen * 0.414 % 1));
        }
        return sampler.report();
    }

    private static MergedView view(long nowMs, Map<String, MergedView.Account> accounts) {
        return new MergedView(nowMs, Map.of(), accounts, accounts.size());
    }

    /** So many plans, each with a new report. */
    private long plans(KeyForecasts forecasts, int count, int zones, long fromMs) {
        long nowMs = BEGAN_MS + fromMs;
        for (int i = 0; i < count; i++, nowMs += PERIOD_MS) {
            forecasts.step(
                    nowMs,
                    view(
                            nowMs,
                            Map.of(
                                    "d",
                                    new MergedView.Account(
                                            1,
                                            nowMs,
                                            sampledUntil(nowMs - BEGAN_MS),
                                            servers(zones),
                                            Map.of("0", times.seen())))),
                    ZoneWeights.NEUTRAL);
        }
        return nowMs;
    }

    @DataProvider
    Object[][] zones() {
        return new Object[][] {{1, 5}, {2, 9}, {3, 11}};
    }

    @Test(dataProvider = "zones")
    public void allQuestionsAreAnsweredInTurnOneAStep(int zones, int questions) {
        KeyForecasts forecasts = new KeyForecasts();
        plans(forecasts, 2, zones, 0);
        assertTrue(forecasts.answers().size() <= 1, "one a step");
        long nowMs = plans(forecasts, questions, zones, 2 * PERIOD_MS);
        assertEquals(forecasts.answers().size(), questions, forecasts.report().toString());
        forecasts.answers().forEach((change, answer) -> {
            assertEquals(Asked.read(change).text(), change);
            assertTrue(nowMs - answer.atMs() <= questions * PERIOD_MS + PERIOD_MS);
            assertTrue(answer.trusted() && answer.soon().high() - answer.soon().low() > 0, answer.toString());
        });
        if (zones > 1) {
            // Fewer servers get each key's sessions, so they meet it more often.
            ForecastAnswer lost = forecasts.answers().get("zone-lost:z0");
            assertTrue(lost.steady().mean() > lost.now().mean(), lost.toString());
        }
        assertTrue(forecasts.answers().get("replaced:1.0").soon().mean()
                < forecasts.answers().get("replaced:1.0").steady().mean());
        // Once it is well known: each key comes every 2 s, over all servers, to a life of 5 s.
        plans(forecasts, 50, zones, nowMs - BEGAN_MS);
        HitRate now = forecasts.answers().get("replaced:1.0").now();
        assertEquals(now.mean(), 1 - Math.exp(-5 / 2.0 / 12), 0.03, now.toString());
        assertTrue(now.high() - now.low() < 0.2, now.toString());
    }

    @Test
    public void movingCostsNothingUntilItIsKnownAndNothingWithoutTrustInIt() {
        KeyForecasts forecasts = new KeyForecasts();
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0, "nothing is known");
        long at = plans(forecasts, 20, 3, 0) - BEGAN_MS;
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0, "first it is asked for");
        at = plans(forecasts, 1, 3, at) - BEGAN_MS;
        double cost = forecasts.extraWork("a", "z0", 0.3, 0.5);
        assertTrue(cost > 0 && cost < 1, cost + "");
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.45), cost * 0.75, 1e-9, "in proportion");
        assertEquals(forecasts.extraWork("a", "z0", 0.5, 0.3), 0.0, "what shrinks has no cold keys");
        assertEquals(forecasts.extraWork("a", "mars", 0.3, 0.5), 0.0);
        // Of daemons that fell silent nothing is known after a while.
        long later = BEGAN_MS + at + KeyForecasts.FORGET_MS + 1;
        forecasts.step(later, view(later, Map.of()), ZoneWeights.NEUTRAL);
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0);
        assertEquals(forecasts.answers(), Map.of());
    }

    @Test
    public void whatProvedWrongSaysNothingAndCostsNothing() {
        KeyForecasts forecasts = new KeyForecasts();
        long at = plans(forecasts, 20, 3, 0) - BEGAN_MS;
        forecasts.extraWork("a", "z0", 0.3, 0.5);
        at = plans(forecasts, 1, 3, at) - BEGAN_MS;
        assertTrue(forecasts.extraWork("a", "z0", 0.3, 0.5) > 0);
        for (int i = 0; i < 6; i++) {
            forecasts.record().followed(new HitRate(0.2, 0.1, 0.3), 0.6, 0.6);
        }
        at = plans(forecasts, 1, 3, at) - BEGAN_MS;
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0, "also what was reckoned before");
        long last = BEGAN_MS + at - PERIOD_MS;
        ForecastAnswer answer = forecasts.answers().values().stream()
                .filter(each -> each.atMs() == last)
                .findFirst()
                .orElseThrow();
        assertEquals(
                answer,
                new ForecastAnswer(
                        answer.change(),
                        last,
                        false,
                        HitRate.UNKNOWN,
                        HitRate.UNKNOWN,
                        HitRate.UNKNOWN,
                        ForecastScore.NONE));
    }

    /** So many answers more, seven in ten of which hit; those of 200 keys that come seldom miss. */
    private static AnswerLevels levels(long steps) {
        Map<Long, Sum> keys = new HashMap<>();
        for (long key = 0; key < 200; key++) {
            keys.put(key, sum(steps * (1 + key % 2), 1.2));
        }
        return new AnswerLevels(-1, sum(2_000 * steps, 0.85), sum(200 * steps, 0.7), keys);
    }

    private static Sum sum(long count, double mean) {
        return new Sum(count, count * mean, count * (mean * mean + 0.16));
    }

    /** Planted: service times tell of a memory by which a quarter hits at most. */
    @Test
    public void aForecastThatThreeChangesProveWrongLosesItsSay() {
        KeyForecasts forecasts = new KeyForecasts();
        List<Server> servers = new ArrayList<>(servers(3));
        for (int i = 1; i < 119; i++) {
            for (int j = 0; i % 30 == 29 && j < 7; j++) {
                servers.set(
                        j,
                        new Server(
                                "n" + i + "-" + j,
                                servers.get(j).zone(),
                                servers.get(j).kind()));
            }
            long nowMs = BEGAN_MS + i * 10_000L;
            forecasts.step(
                    nowMs,
                    view(
                            nowMs,
                            Map.of(
                                    "d",
                                    new MergedView.Account(
                                            1,
                                            nowMs,
                                            sampledUntil(i * 10_000L),
                                            List.copyOf(servers),
                                            Map.of("0", times.seen()),
                                            levels(i)))),
                    ZoneWeights.NEUTRAL);
            if (i == 80) {
                assertEquals(forecasts.report().get("trusted"), true);
            }
        }
        assertEquals(
                forecasts.report().get("trusted"), false, forecasts.report().toString());
        ForecastScore score = (ForecastScore) forecasts.report().get("score");
        assertEquals(score.scored(), 6);
        assertEquals(score.unscored(), Map.of());
        assertTrue(
                score.last().stream()
                        .allMatch(each -> !each.held()
                                && each.said().high() < 0.5
                                && Math.abs(each.seen() - 0.7) < 0.05
                                && Math.abs(each.before() - 0.7) < 0.05),
                score.toString());
        assertTrue(forecasts.answers().values().stream()
                .anyMatch(answer -> !answer.trusted()
                        && answer.score().equals(score)
                        && answer.steady().equals(HitRate.UNKNOWN)));
    }

    /** A search for a share asks many times; a step reckons one of them. */
    @Test
    public void howeverManyCostsAreAskedForAStepReckonsOne() {
        KeyForecasts forecasts = new KeyForecasts();
        long at = plans(forecasts, 20, 3, 0) - BEGAN_MS;
        for (int growth = 1; growth <= 5; growth++) {
            forecasts.extraWork("a", "z1", 0.3, 0.3 + growth / 10.0);
        }
        for (int known = 1; known <= 3; known++) {
            at = plans(forecasts, 1, 3, at) - BEGAN_MS;
            int count = 0;
            for (int growth = 1; growth <= 5; growth++) {
                count += forecasts.extraWork("a", "z1", 0.3, 0.3 + growth / 10.0) > 0 ? 1 : 0;
            }
            assertEquals(count, known);
        }
    }

    /** After a restart with its disk: what was kept is older than the window, and what comes next is no burst. */
    @Test
    public void anOldAccountIsNotTakenForOneOfNow() {
        Map<String, MergedView.Account> old = new HashMap<>();
        old.put("d", new MergedView.Account(1, BEGAN_MS, sampledUntil(60_000), servers(3), null));
        long nowMs = BEGAN_MS + KeyForecasts.FORGET_MS + 1_000;
        KeyForecasts forecasts = new KeyForecasts();
        forecasts.step(nowMs, view(nowMs, old), ZoneWeights.NEUTRAL);
        assertEquals(((Map<?, ?>) forecasts.report()).get("daemons"), 0);
        assertEquals(((Map<?, ?>) forecasts.report()).get("servers"), 0);
    }

    @Test
    public void whatCannotBeReckonedWithIsCountedAndStopsNothing() {
        KeyForecasts forecasts = new KeyForecasts();
        KeyReport broken = new KeyReport(
                -1, 10, List.of(new KeyReport.Key(1, null, 5, List.of()), new KeyReport.Key(1, "a", 5, List.of())));
        for (int i = 0; i < 3; i++) {
            long nowMs = BEGAN_MS + i * PERIOD_MS;
            KeyReport told = i == 0 ? new KeyReport(-1, 0, List.of()) : broken;
            forecasts.step(
                    nowMs,
                    view(nowMs, Map.of("d", new MergedView.Account(1, nowMs, told, servers(2), null))),
                    ZoneWeights.NEUTRAL);
        }
        assertTrue((Long) forecasts.report().get("failed") > 0);
        assertFalse(forecasts.extraWork("a", "z0", 0.1, 0.2) > 0);
    }

    /** The planner asks for costs, and reckons them when it forecasts. */
    @Test
    public void thePlannerForecastsWithoutContracts() {
        PromisePlanner planner =
                new PromisePlanner(List.of(), ControllerConfig.withPeriod(PERIOD_MS), new KeyForecasts());
        Map<String, ForecastAnswer> said = Map.of();
        for (long ms = 0; ms < 10 * PERIOD_MS; ms += PERIOD_MS) {
            long nowMs = BEGAN_MS + ms;
            MergedView view = view(
                    nowMs,
                    Map.of(
                            "d",
                            new MergedView.Account(1, nowMs, sampledUntil(ms), servers(1), Map.of("0", times.seen()))));
            assertEquals(planner.plan(nowMs, view), ZoneWeights.NEUTRAL);
            said = planner.forecasts(nowMs, view);
        }
        assertEquals(said.size(), 5);
        assertEquals(((Map<?, ?>) ((Map<?, ?>) planner.report()).get("forecast")).get("servers"), 12);
    }
}
