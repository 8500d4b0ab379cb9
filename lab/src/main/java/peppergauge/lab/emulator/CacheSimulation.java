package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import peppergauge.forecast.cache.CacheEstimate;
import peppergauge.forecast.cache.CacheEstimator;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.PlacementStep;
import peppergauge.forecast.popularity.KeyMerge;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.sample.KeySampler;

/**
 * Simulates a workload with the emulator's key caches in virtual time. Requests arrive by a Poisson process with keys
 * by Zipf's law, as in {@link Application}. Queues, failures and retries are not simulated.
 */
final class CacheSimulation {

    static final double FIRST_REPORT_MS = 75_000;
    static final double CHANGE_MS = 315_000;
    static final double SOON_MS = 30_000;
    static final double END_MS = CHANGE_MS + 90_000;
    static final int SAMPLER_CAPACITY = 8_192;

    /** Cache hits and requests by group: "fleet", "tenant a", "server s1", "sidecar 3". */
    static final class HitCounts {
        private final Map<String, long[]> counts = new TreeMap<>();

        void add(String what, boolean hit) {
            long[] count = counts.computeIfAbsent(what, any -> new long[2]);
            count[0] += hit ? 1 : 0;
            count[1]++;
        }

        double rate(String what) {
            long[] count = counts.getOrDefault(what, new long[2]);
            return count[1] == 0 ? 0 : (double) count[0] / count[1];
        }

        long requests(String what) {
            return counts.getOrDefault(what, new long[2])[1];
        }

        Set<String> names() {
            return counts.keySet();
        }
    }

    final HitCounts before = new HitCounts();
    final HitCounts soon = new HitCounts();
    final HitCounts steady = new HitCounts();
    KeyPopularity popularity;
    /** Popularity over the same span with all keys sampled. */
    KeyPopularity allKeysPopularity;

    CacheEstimate estimate;
    final List<Map<String, Double>> mixes = new ArrayList<>();

    private final CacheWorkload workload;
    private final UniformRandomProvider random;
    private final UniformRandomProvider noise;
    private final Map<String, KeyCache> caches = new HashMap<>();
    private final List<KeySampler> samplers = new ArrayList<>();
    private final List<Map<Long, Double>> lastSent = new ArrayList<>();
    private final Map<Double, ServiceTimes> times = new TreeMap<>();
    private KeyMerge keyMerge = new KeyMerge(240_000, 900_000);
    private final long threshold;
    private final int[] tenants;
    private final long[] counts;

    CacheSimulation(CacheWorkload workload) {
        this.workload = workload;
        random = new RandomStreams(workload.seed()).of("sessions");
        noise = new RandomStreams(workload.seed()).of("noise");
        threshold = KeySampler.threshold(workload.keySampling());
        counts = new long[workload.keys()];
        tenants = IntStream.rangeClosed(1, workload.keys())
                .map(CacheSimulation::tenant)
                .toArray();
        for (int i = 0; i < workload.placement().sidecars().size(); i++) {
            samplers.add(new KeySampler(SAMPLER_CAPACITY, workload.keySampling()));
            lastSent.add(new HashMap<>());
            mixes.add(new TreeMap<>());
        }
        run();
    }

    private void run() {
        DiscreteSampler keys =
                ZipfSampler.of(new RandomStreams(workload.seed()).of("keys"), workload.keys(), workload.zipf());
        double[] sidecars = new double[samplers.size()];
        for (int i = 0; i < sidecars.length; i++) {
            sidecars[i] = workload.placement().sidecars().get(i) + (i == 0 ? 0 : sidecars[i - 1]);
        }
        List<PlacementStep> steps = workload.actualSteps();
        ServerSelector selector = new ServerSelector(workload.placement(), random);
        int step = 0;
        boolean reported = false;
        for (double ms = 0; ms < END_MS; ms += RandomStreams.exponential(random) / workload.rate() * 1e3) {
            if (!reported && ms >= FIRST_REPORT_MS) {
                reportPopularity((long) FIRST_REPORT_MS);
                reported = true;
            }
            while (step < steps.size() && ms >= CHANGE_MS + steps.get(step).atMs()) {
                if (step == 0) {
                    estimateCache();
                }
                selector = new ServerSelector(steps.get(step++).placement(), random);
            }
            int key = keys.sample();
            int sidecar = Arrays.binarySearch(sidecars, random.nextDouble() * sidecars[sidecars.length - 1]);
            onRequest(selector, sidecar < 0 ? -sidecar - 1 : sidecar, key, ms);
        }
    }

    /** Assigns a key to one of six tenants whose sizes range from 6 to 1. */
    private static int tenant(int key) {
        int drawn = Math.floorMod(new RandomStreams(key).number("station"), 21);
        return drawn < 6 ? 0 : drawn < 11 ? 1 : drawn < 15 ? 2 : drawn < 18 ? 3 : drawn < 20 ? 4 : 5;
    }

    private void onRequest(ServerSelector selector, int sidecar, int key, double ms) {
        int tenant = tenants[key - 1];
        Server server = selector.place(sidecar, tenant, key, ms);
        boolean hit = caches.computeIfAbsent(server.id(), id -> new KeyCache(workload.cacheSettings()))
                        .access(key, VirtualTime.ticks(ms))
                < 1;
        String name = CacheWorkload.TENANTS.get(tenant);
        if (ms < CHANGE_MS) {
            String keyName = name(key);
            samplers.get(sidecar).onRequest(keyName, name, (long) ms);
            mixes.get(sidecar).merge(name, 1.0, Double::sum);
            counts[key - 1] += ms >= FIRST_REPORT_MS ? 1 : 0;
            if (Long.compareUnsigned(KeySampler.hash(keyName), threshold) < 0) {
                answered(sidecar, key, server, hit, ms);
            }
        }
        HitCounts hitCounts =
                ms < CHANGE_MS - SOON_MS ? null : ms < CHANGE_MS ? before : ms < CHANGE_MS + SOON_MS ? soon : steady;
        if (hitCounts != null) {
            hitCounts.add("fleet", hit);
            hitCounts.add("tenant " + name, hit);
            hitCounts.add("server " + server.id(), hit);
            hitCounts.add("sidecar " + sidecar, hit);
        }
    }

    /** Key name that differs between workloads, so that each workload is a different sample. */
    private String name(int key) {
        return "world-" + workload.seed() + "/key-" + key;
    }

    /** Records what the sidecar observes: the service time, and the time since it last sent the key to that server. */
    private void answered(int sidecar, int key, Server server, boolean hit, double ms) {
        Double last = lastSent.get(sidecar)
                .put((long) key << 20 | Integer.parseInt(server.id().substring(1)), ms);
        if (ms > FIRST_REPORT_MS) {
            double relative = RandomStreams.spread(
                    noise, hit ? 1 - workload.cacheSettings().memorySaving() : 1, workload.spread());
            times.computeIfAbsent(server.weight(), any -> new ServiceTimes(SAMPLER_CAPACITY))
                    .onResponse(
                            KeySampler.hash(name(key)), last == null ? Double.POSITIVE_INFINITY : ms - last, relative);
        }
    }

    private void reportPopularity(long ms) {
        for (int i = 0; i < samplers.size(); i++) {
            keyMerge.accept("d" + i, 1, ms, samplers.get(i).report());
        }
    }

    private void estimateCache() {
        reportPopularity((long) CHANGE_MS);
        popularity = keyMerge.popularity((long) CHANGE_MS).orElseThrow();
        allKeysPopularity = new KeyPopularity(
                1,
                popularity.requests(),
                popularity.spanMs(),
                IntStream.range(0, counts.length)
                        .filter(i -> counts[i] > 0)
                        .mapToObj(i -> new KeyPopularity.KeyCount(
                                KeySampler.hash(name(i + 1)), CacheWorkload.TENANTS.get(tenants[i]), counts[i]))
                        .toList());
        double weights = workload.placement().servers().stream()
                .mapToDouble(Server::weight)
                .sum();
        estimate = CacheEstimator.estimate(
                workload.placement(),
                times.entrySet().stream()
                        .map(each -> new CacheEstimator.ServerKind(
                                each.getKey() / weights, each.getValue().snapshot()))
                        .toList(),
                popularity);
        samplers.clear();
        lastSent.clear();
        keyMerge = null;
    }
}
