package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import peppergauge.forecast.answers.Answers;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Draws;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.sample.KeySampler;

public class AnswersTest {

    private static final Placement PLACEMENT = new Placement(IntStream.range(0, 10).mapToObj(i ->
            new Server("s" + i, i < 5 ? "x" : "y", 1)).toList(), new Draws(), 0, List.of(0.5, 0.5), Map.of());
    private static final Map<String, Double> PARTS = Map.of("gen", 0.1);
    private static final PlacementChange CHANGE = new PlacementChange.ZoneLost("x");

    /** Two daemons that tell of 100 keys for four minutes, 50 sessions a second together. */
    private static Answers told() {
        Answers answers = new Answers(240_000, 900_000, 10_000);
        SplittableRandom random = new SplittableRandom(1);
        for (int daemon = 0; daemon < 2; daemon++) {
            KeySampler sampler = new KeySampler(256);
            ServiceTimes times = new ServiceTimes(256);
            assertTrue(answers.accept("d" + daemon, 1, 0, sampler.report(), Map.of()));
            for (int i = 0; i < 6_000; i++) {
                String key = "k" + random.nextInt(100);
                sampler.seen(key, "a", i * 40L);
                double gapMs = 250 * Math.pow(128, random.nextDouble());
                times.answered(KeySampler.hash(key), gapMs, (gapMs < 5_000 ? 0.6 : 0.9) + 0.2 * random.nextDouble());
            }
            answers.accept("d" + daemon, 1, 240_000, sampler.report(), Map.of("gen", times.seen()));
        }
        return answers;
    }

    @Test
    public void reportsBecomeForecasts() {
        HitRate said = told().heard(PLACEMENT, PARTS, CHANGE, 240_000);
        // Each key half a second apart over the five servers left, 0.1 a second at each, and a life of 5 s.
        assertEquals(said.mean(), 1 - Math.exp(-0.1 * 5), 0.05);
        assertTrue(said.high() - said.low() < 0.3, said.toString());
    }

    @Test
    public void nothingIsSaidWhereNothingWasReportedAndNoCostIsMadeOfIt() {
        Answers answers = new Answers(240_000, 900_000, 10_000);
        assertEquals(answers.heard(PLACEMENT, PARTS, CHANGE, 0), HitRate.UNKNOWN);
        assertEquals(answers.extraWork(PLACEMENT, PARTS, "a", "x", 0.2, 0.8, 0), 0.0);
    }

    @Test
    public void whatProvedWrongHasNoSayAndMakesNoCost() {
        Answers answers = told();
        assertTrue(answers.extraWork(PLACEMENT, PARTS, "a", "x", 0.1, 0.9, 240_000) > 0);
        for (int i = 0; i < 6; i++) {
            answers.record().followed(new HitRate(0.2, 0.1, 0.3), 0.6, 0.6);
        }
        assertFalse(answers.record().trusted());
        assertEquals(answers.heard(PLACEMENT, PARTS, CHANGE, 240_000), HitRate.UNKNOWN);
        assertEquals(answers.extraWork(PLACEMENT, PARTS, "a", "x", 0.1, 0.9, 240_000), 0.0);
    }
}
