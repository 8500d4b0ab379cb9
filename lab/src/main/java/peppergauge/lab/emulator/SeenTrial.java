package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import peppergauge.forecast.observation.HitRateObserver;
import peppergauge.forecast.observation.ObservedHitRate;
import peppergauge.forecast.observation.ResponseTimeCounter;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.Placement.WeightedRandom;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.placement.PlacementStep;
import peppergauge.forecast.sample.KeySampler;

/**
 * Compares hit rates estimated from response times with those of the emulator's key caches, for the workloads of
 * {@link ForecastTrial} that the fleet service forecasts (random placement; a zone lost or shunned, or servers
 * replaced). Requests queue at their servers in order of arrival. Arguments: first seed, number of workloads, highest
 * load before the change.
 */
final class SeenTrial {

    /** Requests that a server processes concurrently. */
    private static final int WORKERS = 4;

    private static final double MAX_WAIT_MS = 1_000;
    private static final double MEAN_WORK_MS = 100;
    private static final double REPORT_INTERVAL_MS = 3_700;
    private static final double BEGIN_MS = CacheSimulation.CHANGE_MS - 250_000;
    private static final double END_MS = CacheSimulation.CHANGE_MS + 180_000;
    /** Start and end of each window, ms after the change. */
    static final double[][] WINDOWS = {{-120_000, 0}, {0, 30_000}, {60_000, 180_000}};

    private final CacheWorkload workload;
    private final double utilization;
    private final double weights;
    private final UniformRandomProvider random;
    private final UniformRandomProvider noise;
    private final DiscreteSampler keys;
    private final Map<String, KeyCache> caches = new HashMap<>();
    private final Map<String, double[]> freeAtMs = new HashMap<>();
    private final List<ResponseTimeCounter> counters = new ArrayList<>();
    private final List<Map<Long, Double>> lastSent = new ArrayList<>();
    private final HitRateObserver observer = new HitRateObserver();
    final ObservedHitRate[] seen = new ObservedHitRate[WINDOWS.length];
    final double[] truth = new double[WINDOWS.length];
    final double[] responseTimeEstimate = new double[WINDOWS.length];

    SeenTrial(CacheWorkload workload, double maxUtilization) {
        this(workload, maxUtilization, "");
    }

    /**
     * @param maxUtilization highest utilization before the change; with 0, requests do not queue
     * @param streamSuffix suffix of the random streams, for different random requests of the same workload
     */
    SeenTrial(CacheWorkload workload, double maxUtilization, String streamSuffix) {
        this.workload = workload;
        random = new RandomStreams(workload.seed()).of("seen sessions" + streamSuffix);
        noise = new RandomStreams(workload.seed()).of("seen noise" + streamSuffix);
        weights = workload.placement().servers().stream()
                .mapToDouble(Server::weight)
                .sum();
        utilization = maxUtilization * (0.4 + 0.6 * random.nextDouble());
        for (int i = 0; i < workload.placement().sidecars().size(); i++) {
            counters.add(new ResponseTimeCounter());
            lastSent.add(new HashMap<>());
        }
        keys = ZipfSampler.of(
                new RandomStreams(workload.seed()).of("seen keys" + streamSuffix), workload.keys(), workload.zipf());
        run();
    }

    /** The workload of a seed, or null if the fleet service does not forecast its change. */
    static CacheWorkload workload(long seed) {
        CacheWorkload drawn = CacheWorkload.draw(seed, false);
        boolean isForecast = drawn.change() instanceof PlacementChange.ZoneLost
                || drawn.change() instanceof PlacementChange.ZoneShunned
                || drawn.change() instanceof PlacementChange.ServersReplaced;
        return isForecast && drawn.placement().rule() instanceof WeightedRandom && drawn.rate() <= 600 ? drawn : null;
    }

    private void run() {
        double[] sidecars = workload.placement().sidecars().stream()
                .mapToDouble(share -> share)
                .toArray();
        Arrays.parallelPrefix(sidecars, Double::sum);
        List<PlacementStep> steps = workload.actualSteps();
        ServerSelector selector = new ServerSelector(workload.placement(), random);
        int step = 0;
        double reportMs = BEGIN_MS;
        long[][] counted = new long[WINDOWS.length][2];
        double[] took = new double[WINDOWS.length];
        for (double ms = BEGIN_MS; ms < END_MS; ms += RandomStreams.exponential(random) / workload.rate() * 1e3) {
            for (; reportMs <= ms; reportMs += REPORT_INTERVAL_MS) {
                report((long) reportMs);
            }
            while (step < steps.size()
                    && ms >= CacheSimulation.CHANGE_MS + steps.get(step).atMs()) {
                selector = new ServerSelector(steps.get(step++).placement(), random);
            }
            int key = keys.sample();
            int drawn = Arrays.binarySearch(sidecars, random.nextDouble() * sidecars[sidecars.length - 1]);
            int sidecar = drawn < 0 ? -drawn - 1 : drawn;
            Server server = selector.place(sidecar, 0, key, ms);
            boolean hit = caches.computeIfAbsent(server.id(), id -> new KeyCache(workload.cacheSettings()))
                            .access(key, VirtualTime.ticks(ms))
                    < 1;
            double tookMs = responseMs(server, hit, ms);
            answered(sidecar, key, server, ms, tookMs);
            for (int i = 0; i < WINDOWS.length; i++) {
                if (ms >= CacheSimulation.CHANGE_MS + WINDOWS[i][0] && ms < CacheSimulation.CHANGE_MS + WINDOWS[i][1]) {
                    counted[i][0] += hit ? 1 : 0;
                    counted[i][1]++;
                    took[i] += tookMs;
                }
            }
        }
        report((long) END_MS);
        for (int i = 0; i < WINDOWS.length; i++) {
            truth[i] = (double) counted[i][0] / counted[i][1];
            double mean = took[i] / counted[i][1] / (took[0] / counted[0][1]);
            double saving = workload.cacheSettings().memorySaving();
            responseTimeEstimate[i] = (1 - (1 - saving * truth[0]) * mean) / saving;
        }
        observe();
    }

    void observe() {
        for (int i = 0; i < WINDOWS.length; i++) {
            seen[i] = observer.between(
                    (long) (CacheSimulation.CHANGE_MS + WINDOWS[i][0]),
                    (long) (CacheSimulation.CHANGE_MS + WINDOWS[i][1]),
                    servers(i));
        }
    }

    private int servers(int window) {
        return window == 0
                ? workload.placement().servers().size()
                : workload.actualSteps()
                        .get(workload.actualSteps().size() - 1)
                        .placement()
                        .servers()
                        .size();
    }

    /** Response time of work and queueing. A request that would wait over a second is rejected, as sidecars do. */
    private double responseMs(Server server, boolean hit, double ms) {
        double work = MEAN_WORK_MS
                * RandomStreams.spread(noise, hit ? 1 - workload.cacheSettings().memorySaving() : 1, workload.spread());
        if (utilization == 0) {
            return work;
        }
        double perMs = workload.rate() / 1e3 * server.weight() / weights;
        double workerMs = work / MEAN_WORK_MS * utilization * WORKERS / perMs;
        double[] workers = freeAtMs.computeIfAbsent(server.id(), id -> new double[WORKERS]);
        int first = 0;
        for (int i = 1; i < WORKERS; i++) {
            first = workers[i] < workers[first] ? i : first;
        }
        // Converted to the units of the work, since servers are scaled to the speed that results in their load.
        double waitMs = Math.max(0, workers[first] - ms) * work / workerMs;
        if (waitMs > MAX_WAIT_MS) {
            return work;
        }
        workers[first] = Math.max(workers[first], ms) + workerMs;
        return work + waitMs;
    }

    private void answered(int sidecar, int key, Server server, double ms, double tookMs) {
        long sent = (long) key << 32 | server.id().hashCode() & 0xFFFFFFFFL;
        Double last = lastSent.get(sidecar).put(sent, ms);
        counters.get(sidecar)
                .onResponse(
                        KeySampler.hash("world-" + workload.seed() + "/key-" + key),
                        true,
                        0,
                        0,
                        last == null ? Double.POSITIVE_INFINITY : ms - last,
                        tookMs);
    }

    private void report(long ms) {
        for (int i = 0; i < counters.size(); i++) {
            observer.accept("d" + i, 1, ms, counters.get(i).snapshot());
        }
    }

    public static void main(String[] args) {
        long from = Long.parseLong(args[0]);
        List<SeenTrial> trials = LongStream.range(from, from + Long.parseLong(args[1]))
                .parallel()
                .mapToObj(SeenTrial::workload)
                .filter(found -> found != null)
                .map(found -> new SeenTrial(found, Double.parseDouble(args[2])))
                .toList();
        if (args.length > 3) {
            trials.forEach(SeenTrial::print);
        }
        for (int i = 0; i < WINDOWS.length; i++) {
            printWindow(trials, i);
        }
    }

    private void print() {
        System.out.printf(
                "%d %s servers %d sidecars %d keys %d rate %.0f life %d size %d",
                workload.seed(),
                workload.change().getClass().getSimpleName(),
                workload.placement().servers().size(),
                workload.placement().sidecars().size(),
                workload.keys(),
                workload.rate(),
                workload.cacheSettings().memoryTime().toMillis(),
                workload.cacheSettings().memoryKeys());
        for (int i = 0; i < WINDOWS.length; i++) {
            System.out.printf(
                    " | %.3f %.3f +- %.3f %s, by mean response time %.3f",
                    truth[i], seen[i].rate(), seen[i].error(), seen[i].missing(), responseTimeEstimate[i]);
        }
        System.out.println();
    }

    private static void printWindow(List<SeenTrial> trials, int window) {
        Map<String, Integer> missingCounts = new TreeMap<>();
        trials.forEach(trial -> missingCounts.merge(trial.seen[window].missing().toString(), 1, Integer::sum));
        for (double maxError : new double[] {0.01, 0.02, 0.03, 0.05, 0.1, 10}) {
            List<SeenTrial> known = trials.stream()
                    .filter(trial -> trial.seen[window].error() < maxError)
                    .toList();
            System.out.printf(
                    "window %d error under %.2f: %d of %d, error %.4f bias %.4f reported error %.4f, z over 1.645 "
                            + "%.3f, error by mean response time %.4f %s%n",
                    window,
                    maxError,
                    known.size(),
                    trials.size(),
                    known.stream()
                            .mapToDouble(t -> Math.abs(t.seen[window].rate() - t.truth[window]))
                            .average()
                            .orElse(0),
                    known.stream()
                            .mapToDouble(t -> t.seen[window].rate() - t.truth[window])
                            .average()
                            .orElse(0),
                    known.stream()
                            .mapToDouble(t -> t.seen[window].error())
                            .average()
                            .orElse(0),
                    known.stream()
                            .mapToDouble(t ->
                                    Math.abs(t.seen[window].rate() - t.truth[window]) > 1.645 * t.seen[window].error()
                                            ? 1
                                            : 0)
                            .average()
                            .orElse(0),
                    known.stream()
                            .mapToDouble(t -> Math.abs(t.responseTimeEstimate[window] - t.truth[window]))
                            .average()
                            .orElse(0),
                    missingCounts);
        }
    }
}
