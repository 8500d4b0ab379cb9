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

/** More keys, of several stations, than fit: popular and rare ones, and none, under a clock that may go back. */
public final class SamplerLoad {

    private static final int STEPS = Loads.steps(4_000);

    private SamplerLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int most = 16 + random.nextInt(200);
        KeySampler sampler = new KeySampler(most, random.nextBoolean() ? 1 : 0.1 + 0.9 * random.nextDouble());
        ServiceTimes times = new ServiceTimes(most);
        Map<String, Long> seen = new HashMap<>();
        long sessions = 0;
        int keys = 1 + random.nextInt(2_000);
        int stations = 1 + random.nextInt(random.nextBoolean() ? 3 : 40);
        long threshold = sampler.report().threshold();
        long nowMs = 0;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(-10, 400);
            String key = random.nextInt(50) == 0 ? "" : "k" + (int) (keys * Math.pow(random.nextDouble(), 3));
            String station = "s" + random.nextInt(stations);
            sampler.onRequest(key, station, nowMs);
            times.onResponse(
                    random.nextInt(2 * most),
                    random.nextBoolean() ? Double.POSITIVE_INFINITY : 40_000 * random.nextDouble(),
                    random.nextDouble());
            if (!key.isEmpty()) {
                sessions++;
                seen.merge(KeySampler.hash(key) + station, 1L, Long::sum);
            }
            if (random.nextInt(300) == 0 || i == STEPS - 1) {
                KeyReport report = sampler.report();
                require(Long.compareUnsigned(report.threshold(), threshold) <= 0, "the threshold rose");
                threshold = report.threshold();
                require(report.sessions() == sessions, report.sessions() + " sessions of " + sessions);
                check(report, most, seen);
            }
        }
        require(times.snapshot().fresh().size() <= most, "more keys are told apart than may be");
    }

    /** What lies under the threshold did so from the first: its count is exact, and none of it is missing. */
    private static void check(KeyReport report, int most, Map<String, Long> seen) {
        require(report.keys().size() <= most, report.keys().size() + " keys in a table of " + most);
        Set<String> told = new HashSet<>();
        for (KeyReport.Key key : report.keys()) {
            String name = key.hash() + key.station();
            require(told.add(name), "a key is told twice");
            require(Long.compareUnsigned(key.hash(), report.threshold()) < 0, "a key over the threshold");
            require(key.count() == seen.getOrDefault(name, 0L), "a key counts " + key.count());
            require(key.gaps().stream().mapToLong(Long::longValue).sum() == key.count() - 1, "gaps " + key.gaps());
        }
        seen.keySet()
                .forEach(name -> require(
                        told.contains(name)
                                || Long.compareUnsigned(
                                                Long.parseLong(name.substring(0, name.indexOf('s'))),
                                                report.threshold())
                                        >= 0,
                        "a key under the threshold is missing"));
    }
}
