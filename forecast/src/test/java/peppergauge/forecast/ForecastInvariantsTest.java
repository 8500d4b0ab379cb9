package peppergauge.forecast;

import org.testng.annotations.DataProvider;
import peppergauge.forecast.accuracy.AccuracyLoad;
import peppergauge.forecast.sample.SamplerLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** Samples, merges, forecasts and the trust in them under random load, and with faults planted in their sources. */
public class ForecastInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 15;
    private static final String SAMPLER = "sample.SamplerLoad";
    private static final String TRUST = "accuracy.AccuracyLoad";
    private static final String FORECAST = "ForecastLoad";

    public ForecastInvariantsTest() {
        super("forecast/", "peppergauge.forecast.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"samples", (Loads.Load) SamplerLoad::run, SEEDS},
            {"trust", (Loads.Load) AccuracyLoad::run, SEEDS},
            {"forecasts", (Loads.Load) ForecastLoad::run, 4},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                SAMPLER,
                "sample/KeySampler.java",
                "return Long.compareUnsigned(hash, threshold) < 0;",
                "return Long.compareUnsigned(hash, threshold) <= 0;",
                "over the threshold"
            },
            {SAMPLER, "sample/KeySampler.java", "        Arrays.fill(counts, kept, size, 0);\n", "", "a key counts"},
            {SAMPLER, "sample/KeySampler.java", "threshold = sorted", "threshold = threshold + sorted", "did not fall"},
            {SAMPLER, "cache/ServiceTimes.java", "fresh.size() < maxKeys", "fresh.size() <= maxKeys", "told apart"},
            {
                TRUST,
                "accuracy/ForecastAccuracy.java",
                "outcomes.size() > MAX_OUTCOMES",
                "outcomes.size() > 2 * MAX_OUTCOMES",
                "outcomes are kept"
            },
            {
                TRUST,
                "accuracy/ForecastAccuracy.java",
                "outcomes.clear();\n" + "        } else if",
                "        } else if",
                "outcomes are kept"
            },
            {TRUST, "accuracy/ForecastAccuracy.java", "misses() <= 1", "misses() <= 2", "given back"},
            {TRUST, "accuracy/ForecastAccuracy.java", "MAX_MISSES = 5", "MAX_MISSES = 7", "kept"},
            {TRUST, "accuracy/ForecastAccuracy.java", "        trusted = kept.trusted();\n", "", "kept is"},
            {
                TRUST,
                "accuracy/ForecastAccuracy.java",
                "new PersistedAccuracy(trusted, List.copyOf(outcomes))",
                "new PersistedAccuracy(trusted, List.copyOf(outcomes)).newest(9)",
                "the say is"
            },
            {
                FORECAST,
                "popularity/KeyMerge.java",
                "source.reports.removeLast();\n        }\n        source.reports.add",
                "assert true;\n        }\n        source.reports.add",
                "are kept"
            },
            {FORECAST, "popularity/KeyMerge.java", "-scale * key.count(), Double::sum", "0.0, Double::sum", "sampled"},
            {
                FORECAST,
                "cache/CacheEstimator.java",
                "at > (points.size() + 0.5) / POINTS",
                "at > (points.size() + 2.5) / POINTS",
                "weights of"
            },
            {FORECAST, "placement/Placement.java", "            shares[i] /= sum;\n", "", "shares of"},
            {FORECAST, "placement/Placement.java", "drawn[i] / sum * LOAD_QUANTILES", "drawn[i]", "luck of"},
            {
                FORECAST,
                "model/ForecastModel.java",
                "return accuracy.isTrusted() ? forecaster",
                "return accuracy != null ? forecaster",
                "a cost without trust"
            },
            {
                FORECAST,
                "hitrate/HitRateForecaster.java",
                "cold / (1 - cache.saving() * steady)",
                "cold / (0 * cache.saving())",
                "moving"
            },
        };
    }
}
