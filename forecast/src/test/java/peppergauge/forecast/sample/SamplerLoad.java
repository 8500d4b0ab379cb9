package peppergauge.forecast.sample;

import static peppergauge.invariant.Loads.require;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.invariant.Loads;

/**
 * Random load on {@link KeySampler}: popular, rare and absent keys of several tenants, usually more than fit into the
 * table, with a clock that may be set back. Compares the report with exact counts.
 */
public final class SamplerLoad {

    private static final int STEPS = Loads.steps(4_000);

    private SamplerLoad() {}

    /** @throws AssertionError if a check fails */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int maxKeys = 16 + random.nextInt(200);
        KeySampler sampler = new KeySampler(maxKeys, random.nextBoolean() ? 1 : 0.1 + 0.9 * random.nextDouble());
        ServiceTimes times = new ServiceTimes(maxKeys);
        Map<String, Long> exactCounts = new HashMap<>();
        long requests = 0;
        int keys = 1 + random.nextInt(2_000);
        int tenants = 1 + random.nextInt(random.nextBoolean() ? 3 : 40);
        long threshold = sampler.report().threshold();
        long nowMs = 0;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(-10, 400);
            String key = random.nextInt(50) == 0 ? "" : "k" + (int) (keys * Math.pow(random.nextDouble(), 3));
            String tenant = "s" + random.nextInt(tenants);
            sampler.onRequest(key, tenant, nowMs);
            times.onResponse(
                    random.nextInt(2 * maxKeys),
                    random.nextBoolean() ? Double.POSITIVE_INFINITY : 40_000 * random.nextDouble(),
                    random.nextDouble());
            if (!key.isEmpty()) {
                requests++;
                exactCounts.merge(KeySampler.hash(key) + tenant, 1L, Long::sum);
            }
            if (random.nextInt(300) == 0 || i == STEPS - 1) {
                KeyReport report = sampler.report();
                require(
                        Long.compareUnsigned(report.threshold(), threshold) <= 0,
                        "expected a threshold that never rises");
                threshold = report.threshold();
                require(
                        report.sessions() == requests,
                        "expected " + requests + " requests but was " + report.sessions());
                check(report, maxKeys, exactCounts);
            }
        }
        require(
                times.snapshot().fresh().size() <= maxKeys,
                "expected at most " + maxKeys + " keys without a gap but was "
                        + times.snapshot().fresh().size());
    }

    /** Keys below the threshold were always sampled: their counts are exact, and none is missing. */
    private static void check(KeyReport report, int maxKeys, Map<String, Long> exactCounts) {
        require(
                report.keys().size() <= maxKeys,
                "expected at most " + maxKeys + " keys but was " + report.keys().size());
        Set<String> reported = new HashSet<>();
        for (KeyReport.Key key : report.keys()) {
            String name = key.hash() + key.station();
            require(reported.add(name), "expected each key once but was twice: " + name);
            require(
                    Long.compareUnsigned(key.hash(), report.threshold()) < 0,
                    "expected a hash below the threshold but was " + key);
            require(
                    key.count() == exactCounts.getOrDefault(name, 0L),
                    "expected a count of " + exactCounts.getOrDefault(name, 0L) + " but was " + key.count());
            require(
                    key.gaps().stream().mapToLong(Long::longValue).sum() == key.count() - 1,
                    "expected " + (key.count() - 1) + " gaps but was " + key.gaps());
        }
        exactCounts
                .keySet()
                .forEach(name -> require(
                        reported.contains(name)
                                || Long.compareUnsigned(
                                                Long.parseLong(name.substring(0, name.indexOf('s'))),
                                                report.threshold())
                                        >= 0,
                        "expected all keys below the threshold but one is missing: " + name));
    }
}
