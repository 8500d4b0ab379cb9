package peppergauge.fleet.planning;

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
import peppergauge.fleet.planner.ChangeQuery;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.planner.ForecastScore;
import peppergauge.fleet.wire.DaemonReport.Server;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.observation.ResponseTimes;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;

public class HitRateForecastsTest {

    private static final long START_MS = 1_700_000_000_000L;
    private static final long PERIOD_MS = 5_000;

    private KeySampler sampler;
    private ServiceTimes times;
    private long requests;

    @BeforeMethod
    public void begin() {
        sampler = new KeySampler(256);
        times = new ServiceTimes(256);
        requests = 0;
    }

    private static List<Server> servers(int zones) {
        return IntStream.range(0, 12)
                .mapToObj(i -> new Server("s" + i, "z" + i % zones, i % 2))
                .toList();
    }

    /** Samples 50 requests per second of 100 keys; a key cached for 5 s saves a third of the service time. */
    private KeyReport sampledUntil(long ms) {
        for (; requests < ms / 20; requests++) {
            String key = "k" + requests * 37 % 100;
            sampler.onRequest(key, "a", requests * 20);
            double gapMs = 250 * Math.pow(128, requests * 0.618 % 1);
            times.onResponse(KeySampler.hash(key), gapMs, (gapMs < 5_000 ? 0.6 : 0.9) + 0.2 * (requests * 0.414 % 1));
        }
        return sampler.report();
    }

    private static FleetView view(long nowMs, Map<String, FleetView.DaemonView> daemonViews) {
        return new FleetView(nowMs, Map.of(), daemonViews, daemonViews.size());
    }

    /** Runs a number of steps, each with a new report; returns the time after them. */
    private long runSteps(HitRateForecasts forecasts, int count, int zones, long fromMs) {
        long nowMs = START_MS + fromMs;
        for (int i = 0; i < count; i++, nowMs += PERIOD_MS) {
            forecasts.step(
                    nowMs,
                    view(
                            nowMs,
                            Map.of(
                                    "d",
                                    new FleetView.DaemonView(
                                            1,
                                            nowMs,
                                            sampledUntil(nowMs - START_MS),
                                            servers(zones),
                                            Map.of("0", times.snapshot())))),
                    ZoneWeights.NEUTRAL);
        }
        return nowMs;
    }

    @DataProvider
    Object[][] zones() {
        return new Object[][] {{1, 5}, {2, 9}, {3, 11}};
    }

    @Test(dataProvider = "zones")
    public void answersAllQueriesInTurnOnePerStep(int zones, int queries) {
        HitRateForecasts forecasts = new HitRateForecasts();
        runSteps(forecasts, 2, zones, 0);
        assertTrue(forecasts.answers().size() <= 1, "expected at most one answer after two steps");
        long nowMs = runSteps(forecasts, queries, zones, 2 * PERIOD_MS);
        assertEquals(forecasts.answers().size(), queries, forecasts.report().toString());
        forecasts.answers().forEach((change, answer) -> {
            assertEquals(ChangeQuery.parse(change).text(), change);
            assertTrue(nowMs - answer.atMs() <= queries * PERIOD_MS + PERIOD_MS);
            assertTrue(answer.trusted() && answer.soon().high() - answer.soon().low() > 0, answer.toString());
        });
        if (zones > 1) {
            // Fewer servers receive each key's requests, so each of them receives the key more often.
            ForecastAnswer lost = forecasts.answers().get("zone-lost:z0");
            assertTrue(lost.steady().mean() > lost.now().mean(), lost.toString());
        }
        assertTrue(forecasts.answers().get("replaced:1.0").soon().mean()
                < forecasts.answers().get("replaced:1.0").steady().mean());
        // With many samples: each key arrives every 2 s, spread over 12 servers, and is cached for 5 s.
        runSteps(forecasts, 50, zones, nowMs - START_MS);
        HitRate now = forecasts.answers().get("replaced:1.0").now();
        assertEquals(now.mean(), 1 - Math.exp(-5 / 2.0 / 12), 0.03, now.toString());
        assertTrue(now.high() - now.low() < 0.2, now.toString());
    }

    @Test
    public void costIsZeroUntilComputedAndWithoutRecentReports() {
        HitRateForecasts forecasts = new HitRateForecasts();
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0, "expected no cost before the first report");
        long at = runSteps(forecasts, 20, 3, 0) - START_MS;
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0, "expected no cost before it is requested");
        at = runSteps(forecasts, 1, 3, at) - START_MS;
        double cost = forecasts.extraWork("a", "z0", 0.3, 0.5);
        assertTrue(cost > 0 && cost < 1, cost + "");
        assertEquals(
                forecasts.extraWork("a", "z0", 0.3, 0.45),
                cost * 0.75,
                1e-9,
                "expected the cost in proportion to the increase");
        assertEquals(forecasts.extraWork("a", "z0", 0.5, 0.3), 0.0, "expected no cost of a smaller share");
        assertEquals(forecasts.extraWork("a", "mars", 0.3, 0.5), 0.0);
        // Answers and costs expire when daemons have not reported for the timeout.
        long later = START_MS + at + HitRateForecasts.DAEMON_TIMEOUT_MS + 1;
        forecasts.step(later, view(later, Map.of()), ZoneWeights.NEUTRAL);
        assertEquals(forecasts.extraWork("a", "z0", 0.3, 0.5), 0.0);
        assertEquals(forecasts.answers(), Map.of());
    }

    @Test
    public void untrustedForecastsAreUnknownAndHaveNoCost() {
        HitRateForecasts forecasts = new HitRateForecasts();
        long at = runSteps(forecasts, 20, 3, 0) - START_MS;
        forecasts.extraWork("a", "z0", 0.3, 0.5);
        at = runSteps(forecasts, 1, 3, at) - START_MS;
        assertTrue(forecasts.extraWork("a", "z0", 0.3, 0.5) > 0);
        for (int i = 0; i < 6; i++) {
            forecasts.record().record(new HitRate(0.2, 0.1, 0.3), 0.6, 0.6);
        }
        at = runSteps(forecasts, 1, 3, at) - START_MS;
        assertEquals(
                forecasts.extraWork("a", "z0", 0.3, 0.5),
                0.0,
                "expected no cost without trust, even if computed before");
        long last = START_MS + at - PERIOD_MS;
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

    /** Returns response times after a number of steps: 70% of the responses hit, those of 200 rare keys miss. */
    private static ResponseTimes responseTimes(long steps) {
        Map<Long, Sum> keys = new HashMap<>();
        for (long key = 0; key < 200; key++) {
            keys.put(key, sum(steps * (1 + key % 2), 1.2));
        }
        return new ResponseTimes(-1, sum(2_000 * steps, 0.85), sum(200 * steps, 0.7), keys);
    }

    private static Sum sum(long count, double mean) {
        return new Sum(count, count * mean, count * (mean * mean + 0.16));
    }

    /** Service times fit a cache with a hit rate of a quarter at most, while response times show 70%. */
    @Test
    public void losesTrustAfterThreeWrongForecasts() {
        HitRateForecasts forecasts = new HitRateForecasts();
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
            long nowMs = START_MS + i * 10_000L;
            forecasts.step(
                    nowMs,
                    view(
                            nowMs,
                            Map.of(
                                    "d",
                                    new FleetView.DaemonView(
                                            1,
                                            nowMs,
                                            sampledUntil(i * 10_000L),
                                            List.copyOf(servers),
                                            Map.of("0", times.snapshot()),
                                            responseTimes(i)))),
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

    /** The search for a share requests many costs; each step computes one of them. */
    @Test
    public void computesOneCostPerStep() {
        HitRateForecasts forecasts = new HitRateForecasts();
        long at = runSteps(forecasts, 20, 3, 0) - START_MS;
        for (int growth = 1; growth <= 5; growth++) {
            forecasts.extraWork("a", "z1", 0.3, 0.3 + growth / 10.0);
        }
        for (int known = 1; known <= 3; known++) {
            at = runSteps(forecasts, 1, 3, at) - START_MS;
            int count = 0;
            for (int growth = 1; growth <= 5; growth++) {
                count += forecasts.extraWork("a", "z1", 0.3, 0.3 + growth / 10.0) > 0 ? 1 : 0;
            }
            assertEquals(count, known);
        }
    }

    /** After a restart, stored reports may be older than the window and must not count as recent. */
    @Test
    public void ignoresOldReportsAfterRestart() {
        Map<String, FleetView.DaemonView> old = new HashMap<>();
        old.put("d", new FleetView.DaemonView(1, START_MS, sampledUntil(60_000), servers(3), null));
        long nowMs = START_MS + HitRateForecasts.DAEMON_TIMEOUT_MS + 1_000;
        HitRateForecasts forecasts = new HitRateForecasts();
        forecasts.step(nowMs, view(nowMs, old), ZoneWeights.NEUTRAL);
        assertEquals(((Map<?, ?>) forecasts.report()).get("daemons"), 0);
        assertEquals(((Map<?, ?>) forecasts.report()).get("servers"), 0);
    }

    @Test
    public void countsFailuresByUnusableReportsAndContinues() {
        HitRateForecasts forecasts = new HitRateForecasts();
        KeyReport unusable = new KeyReport(
                -1, 10, List.of(new KeyReport.Key(1, null, 5, List.of()), new KeyReport.Key(1, "a", 5, List.of())));
        for (int i = 0; i < 3; i++) {
            long nowMs = START_MS + i * PERIOD_MS;
            KeyReport keys = i == 0 ? new KeyReport(-1, 0, List.of()) : unusable;
            forecasts.step(
                    nowMs,
                    view(nowMs, Map.of("d", new FleetView.DaemonView(1, nowMs, keys, servers(2), null))),
                    ZoneWeights.NEUTRAL);
        }
        assertTrue((Long) forecasts.report().get("failed") > 0);
        assertFalse(forecasts.extraWork("a", "z0", 0.1, 0.2) > 0);
    }

    /** Without objectives the planner still makes forecasts. */
    @Test
    public void plannerForecastsWithoutObjectives() {
        ObjectivePlanner planner =
                new ObjectivePlanner(List.of(), ControllerConfig.withPeriod(PERIOD_MS), new HitRateForecasts());
        Map<String, ForecastAnswer> answers = Map.of();
        for (long ms = 0; ms < 10 * PERIOD_MS; ms += PERIOD_MS) {
            long nowMs = START_MS + ms;
            FleetView view = view(
                    nowMs,
                    Map.of(
                            "d",
                            new FleetView.DaemonView(
                                    1, nowMs, sampledUntil(ms), servers(1), Map.of("0", times.snapshot()))));
            assertEquals(planner.plan(nowMs, view), ZoneWeights.NEUTRAL);
            answers = planner.forecasts(nowMs, view);
        }
        assertEquals(answers.size(), 5);
        assertEquals(((Map<?, ?>) ((Map<?, ?>) planner.report()).get("forecast")).get("servers"), 12);
    }
}
