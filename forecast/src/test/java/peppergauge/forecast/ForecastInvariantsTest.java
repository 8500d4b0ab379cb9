package peppergauge.forecast;

import org.testng.annotations.DataProvider;
import peppergauge.forecast.accuracy.AccuracyLoad;
import peppergauge.forecast.sample.SamplerLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;

/** Runs sampling, merging, forecasting and accuracy tracking under random load, unchanged and with planted faults. */
public class ForecastInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 15;
    private static final String SAMPLER = "sample.SamplerLoad";
    private static final String ACCURACY = "accuracy.AccuracyLoad";
    private static final String FORECAST = "ForecastLoad";

    public ForecastInvariantsTest() {
        super("forecast/", "peppergauge.forecast.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"sampler", (Loads.Load) SamplerLoad::run, SEEDS},
            {"accuracy", (Loads.Load) AccuracyLoad::run, SEEDS},
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
                "expected a hash below the threshold"
            },
            {
                SAMPLER,
                "sample/KeySampler.java",
                "        Arrays.fill(counts, retained, size, 0);\n",
                "",
                "expected a count of"
            },
            {SAMPLER, "sample/KeySampler.java", "threshold = sorted", "threshold = threshold + sorted", "did not fall"},
            {
                SAMPLER,
                "cache/ServiceTimes.java",
                "fresh.size() < maxKeys",
                "fresh.size() <= maxKeys",
                "keys without a gap"
            },
            {
                ACCURACY,
                "accuracy/ForecastAccuracy.java",
                "outcomes.size() > MAX_OUTCOMES",
                "outcomes.size() > 2 * MAX_OUTCOMES",
                "outcomes but was"
            },
            {
                ACCURACY,
                "accuracy/ForecastAccuracy.java",
                "outcomes.clear();\n" + "        } else if",
                "        } else if",
                "outcomes but was"
            },
            {
                ACCURACY,
                "accuracy/ForecastAccuracy.java",
                "misses() <= 1",
                "misses() <= 2",
                "expected trust to be withheld"
            },
            {ACCURACY, "accuracy/ForecastAccuracy.java", "MAX_MISSES = 5", "MAX_MISSES = 7", "expected trust to be lost"
            },
            {
                ACCURACY,
                "accuracy/ForecastAccuracy.java",
                "        trusted = stored.trusted();\n",
                "",
                "expected the restored state"
            },
            {
                ACCURACY,
                "accuracy/ForecastAccuracy.java",
                "new PersistedAccuracy(trusted, List.copyOf(outcomes))",
                "new PersistedAccuracy(trusted, List.copyOf(outcomes)).newest(9)",
                "expected trust to be"
            },
            {
                FORECAST,
                "popularity/KeyMerge.java",
                "source.reports.removeLast();\n        }\n        source.reports.add",
                "assert true;\n        }\n        source.reports.add",
                "stored reports of"
            },
            {
                FORECAST,
                "popularity/KeyMerge.java",
                "-scale * key.count(), Double::sum",
                "0.0, Double::sum",
                "sampled requests of at most"
            },
            {
                FORECAST,
                "cache/CacheEstimator.java",
                "at > (points.size() + 0.5) / POINTS",
                "at > (points.size() + 2.5) / POINTS",
                "expected weights that sum to 1"
            },
            {
                FORECAST,
                "placement/Placement.java",
                "            shares[i] /= sum;\n",
                "",
                "expected shares that sum to 1"
            },
            {
                FORECAST,
                "placement/Placement.java",
                "drawn[i] / sum * LOAD_QUANTILES",
                "drawn[i]",
                "expected load factors"
            },
            {
                FORECAST,
                "model/ForecastModel.java",
                "return accuracy.isTrusted() ? forecaster",
                "return accuracy != null ? forecaster",
                "expected no extra work without trust"
            },
            {
                FORECAST,
                "hitrate/HitRateForecaster.java",
                "cold / (1 - cache.saving() * steady)",
                "cold / (0 * cache.saving())",
                "expected finite extra work"
            },
        };
    }
}
