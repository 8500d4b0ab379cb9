package peppergauge.lab.emulator;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import peppergauge.forecast.cache.CacheEstimate;
import peppergauge.forecast.hitrate.Forecast;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.hitrate.HitRateForecaster;
import peppergauge.forecast.hitrate.HitRates;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.sample.KeySampler;

/**
 * Compares forecasts of hit rates, for randomly drawn workloads and placement changes, with the hit rates of the
 * emulator's key caches. Arguments: the first seed, the number of workloads, and the kind: {@code few} (200 to 5,000
 * keys, all in the table), {@code many} (20,000 to 200,000 keys, 1% sampled), or a sampling share such as {@code 0.1}
 * of the keys of {@code few}. With the single argument {@code sampler} it measures the cost of the key sampler.
 */
final class ForecastTrial {

    private final CacheWorkload workload;
    private final CacheSimulation truth;
    private final Forecast forecast;
    private final Forecast uniformForecast;
    private final Forecast knownCacheForecast;
    /** Forecast without heavy keys: the most frequent keys, which daemons count whether sampled or not. */
    private final Forecast withoutHeavyKeys;

    /** Forecast with the popularity of all keys known. */
    private final Forecast allKeysForecast;

    ForecastTrial(CacheWorkload workload) {
        this.workload = workload;
        truth = new CacheSimulation(workload);
        forecast = forecast(truth.popularity, truth.estimate);
        uniformForecast = forecast(uniform(truth.popularity), truth.estimate);
        knownCacheForecast = forecast(
                truth.popularity,
                CacheEstimate.known(
                        workload.cacheSettings().memoryTime().toMillis(),
                        workload.cacheSettings().memoryKeys(),
                        workload.cacheSettings().memorySaving()));
        KeyPopularity popularity = truth.popularity;
        boolean all = workload.keySampling() == 1;
        withoutHeavyKeys = all
                ? forecast
                : forecast(
                        new KeyPopularity(
                                popularity.share(), popularity.requests(), popularity.spanMs(), popularity.keys()),
                        truth.estimate);
        allKeysForecast = all ? forecast : forecast(truth.allKeysPopularity, truth.estimate);
    }

    private Forecast forecast(KeyPopularity popularity, CacheEstimate memory) {
        return new HitRateForecaster(popularity, memory, workload.placement()).forecast(workload.change());
    }

    /** Forecast under the certain but wrong assumption of a cache with a scaled lifetime and size. */
    Forecast forecastWithScaledCache(double times) {
        return forecast(
                truth.popularity,
                CacheEstimate.known(
                        times * workload.cacheSettings().memoryTime().toMillis(),
                        times * workload.cacheSettings().memoryKeys(),
                        workload.cacheSettings().memorySaving()));
    }

    /** Popularity with the same mean in which all keys are equally popular. */
    private static KeyPopularity uniform(KeyPopularity popularity) {
        int keys = popularity.keys().size();
        List<KeyPopularity.KeyCount> same = popularity.keys().stream()
                .map(key -> new KeyPopularity.KeyCount(
                        key.hash(),
                        key.tenant(),
                        Math.max(1, Math.round((double) popularity.sampledRequests() / keys))))
                .toList();
        return new KeyPopularity(popularity.share(), popularity.requests(), popularity.spanMs(), same);
    }

    double soon() {
        return truth.soon.rate("fleet");
    }

    double steady() {
        return truth.steady.rate("fleet");
    }

    double before() {
        return truth.before.rate("fleet");
    }

    Forecast forecast() {
        return forecast;
    }

    /** Forecasts by tenant, server or sidecar: how many held, how many did not, and the sum of absolute errors. */
    double[] parts(String what, CacheSimulation.HitCounts seen, HitRates rates) {
        double[] held = new double[3];
        for (String name : seen.names()) {
            if (name.startsWith(what) && seen.requests(name) >= 100) {
                String id = name.substring(what.length() + 1);
                HitRate own = what.equals("tenant")
                        ? rates.tenants().get(id)
                        : what.equals("server")
                                ? rates.servers().get(id)
                                : rates.sidecar(
                                        truth.mixes.get(Integer.parseInt(id)),
                                        workload.placement().sidecars().get(Integer.parseInt(id)));
                if (own != null) {
                    held[own.contains(seen.rate(name)) ? 0 : 1]++;
                    held[2] += Math.abs(own.mean() - seen.rate(name));
                }
            }
        }
        return held;
    }

    public static void main(String[] args) {
        if (args[0].equals("sampler")) {
            sampler();
            return;
        }
        long from = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        List<ForecastTrial> trials = LongStream.range(from, from + count)
                .parallel()
                .mapToObj(seed -> new ForecastTrial(workload(seed, args[2])))
                .toList();
        if (args.length > 3) {
            trials.forEach(ForecastTrial::print);
        }
        summary(trials);
    }

    /** Measures the CPU time of a call of the sampler and the memory of a full sampler. */
    private static void sampler() {
        ThreadMXBean own = ManagementFactory.getThreadMXBean();
        // Loads classes first, so that their cost is not measured.
        new KeySampler(16, 0.01).onRequest("key", "a", 0);
        String[] keys = IntStream.range(0, 100_000)
                .mapToObj(i -> "account-" + i % 977 + "/episode-" + i)
                .toArray(String[]::new);
        Runtime runtime = Runtime.getRuntime();
        for (double share : new double[] {1, 0.01}) {
            System.gc();
            long before = runtime.totalMemory() - runtime.freeMemory();
            KeySampler sampler = new KeySampler(32_768, share);
            long nanos = Long.MAX_VALUE;
            for (int round = 0; round < 60; round++) {
                long began = own.getCurrentThreadCpuTime();
                for (int i = 0; i < keys.length; i++) {
                    sampler.onRequest(keys[i], CacheWorkload.TENANTS.get(i % 6), round * 1_000L + i / 100);
                }
                nanos = Math.min(nanos, own.getCurrentThreadCpuTime() - began);
            }
            System.gc();
            long bytes = runtime.totalMemory() - runtime.freeMemory() - before;
            System.out.printf(
                    "sampled at most %.2f: %.0f ns a call, %d bytes (maximum %d), %d of 100,000 keys%n",
                    share,
                    (double) nanos / keys.length,
                    bytes,
                    KeySampler.maxBytes(32_768),
                    sampler.report().keys().size());
        }
    }

    private static CacheWorkload workload(long seed, String which) {
        return which.equals("many") || which.equals("few")
                ? CacheWorkload.draw(seed, which.equals("many"))
                : CacheWorkload.draw(seed, false).sampled(Double.parseDouble(which));
    }

    private void print() {
        System.out.printf(
                "%d servers %d sidecars %d members %d keys %d zipf %.2f rate %.0f life %d size %d %s -> %s: "
                        + "before %.3f (%.3f) soon %.3f forecast %.3f [%.3f %.3f] known cache %.3f steady %.3f "
                        + "forecast %.3f [%.3f %.3f] known cache %.3f%n",
                workload.seed(),
                workload.placement().servers().size(),
                workload.placement().sidecars().size(),
                workload.placement().subsetSize(),
                workload.keys(),
                workload.zipf(),
                workload.rate(),
                workload.cacheSettings().memoryTime().toMillis(),
                workload.cacheSettings().memoryKeys(),
                workload.placement().rule(),
                kind(),
                before(),
                forecast.now().fleet().mean(),
                soon(),
                forecast.soon().fleet().mean(),
                forecast.soon().fleet().low(),
                forecast.soon().fleet().high(),
                knownCacheForecast.soon().fleet().mean(),
                steady(),
                forecast.steady().fleet().mean(),
                forecast.steady().fleet().low(),
                forecast.steady().fleet().high(),
                knownCacheForecast.steady().fleet().mean());
    }

    private String kind() {
        String change = workload.change().getClass().getSimpleName();
        return workload.change() instanceof PlacementChange.RuleChanged ruled ? change + ruled.rule() : change;
    }

    static void summary(List<ForecastTrial> trials) {
        Map<String, List<ForecastTrial>> kinds = new TreeMap<>();
        trials.forEach(trial -> kinds.computeIfAbsent(
                        trial.workload.change().getClass().getSimpleName(), any -> new ArrayList<>())
                .add(trial));
        System.out.println("| change | workloads | steady error | soon error | steady held | soon held | no change"
                + " | uniform keys | known cache |");
        kinds.forEach(ForecastTrial::printRow);
        printRow("all", trials);
        for (String what : List.of("tenant", "server", "sidecar")) {
            double[] soon = new double[3];
            double[] steady = new double[3];
            trials.forEach(trial -> {
                double[] a = trial.parts(what, trial.truth.soon, trial.forecast.soon());
                double[] b = trial.parts(what, trial.truth.steady, trial.forecast.steady());
                IntStream.range(0, 3).forEach(i -> {
                    soon[i] += a[i];
                    steady[i] += b[i];
                });
            });
            System.out.printf(
                    "by %s: steady error %.4f held %.3f of %.0f; soon error %.4f held %.3f of %.0f%n",
                    what,
                    steady[2] / (steady[0] + steady[1]),
                    steady[0] / (steady[0] + steady[1]),
                    steady[0] + steady[1],
                    soon[2] / (soon[0] + soon[1]),
                    soon[0] / (soon[0] + soon[1]),
                    soon[0] + soon[1]);
        }
        System.out.printf(
                "half width steady %.4f soon %.4f; median of sampled keys %d%n",
                mean(
                        trials,
                        t -> (t.forecast.steady().fleet().high()
                                        - t.forecast.steady().fleet().low())
                                / 2),
                mean(
                        trials,
                        t -> (t.forecast.soon().fleet().high()
                                        - t.forecast.soon().fleet().low())
                                / 2),
                trials.stream()
                        .map(t -> t.truth.popularity.keys().size())
                        .sorted()
                        .toList()
                        .get(trials.size() / 2));
        printForecast("without heavy keys", trials, trial -> trial.withoutHeavyKeys);
        printForecast("with the popularity of all keys", trials, trial -> trial.allKeysForecast);
        System.out.printf(
                "error of the saving %.4f%n",
                mean(
                        trials,
                        t -> Math.abs(t.truth.estimate.saving()
                                - t.workload.cacheSettings().memorySaving())));
    }

    private static void printForecast(
            String name, List<ForecastTrial> trials, Function<ForecastTrial, Forecast> forecastOf) {
        System.out.printf(
                "%s: steady error %.4f held %.3f half width %.4f; soon error %.4f held %.3f%n",
                name,
                mean(trials, t -> Math.abs(forecastOf.apply(t).steady().fleet().mean() - t.steady())),
                mean(trials, t -> forecastOf.apply(t).steady().fleet().contains(t.steady()) ? 1 : 0),
                mean(
                        trials,
                        t -> (forecastOf.apply(t).steady().fleet().high()
                                        - forecastOf.apply(t).steady().fleet().low())
                                / 2),
                mean(trials, t -> Math.abs(forecastOf.apply(t).soon().fleet().mean() - t.soon())),
                mean(trials, t -> forecastOf.apply(t).soon().fleet().contains(t.soon()) ? 1 : 0));
    }

    private static void printRow(String name, List<ForecastTrial> trials) {
        System.out.printf(
                "| %s | %d | %.4f | %.4f | %.3f | %.3f | %.4f, %.4f | %.4f, %.4f | %.4f, %.4f |%n",
                name,
                trials.size(),
                mean(trials, t -> Math.abs(t.forecast.steady().fleet().mean() - t.steady())),
                mean(trials, t -> Math.abs(t.forecast.soon().fleet().mean() - t.soon())),
                mean(trials, t -> t.forecast.steady().fleet().contains(t.steady()) ? 1 : 0),
                mean(trials, t -> t.forecast.soon().fleet().contains(t.soon()) ? 1 : 0),
                mean(trials, t -> Math.abs(t.before() - t.steady())),
                mean(trials, t -> Math.abs(t.before() - t.soon())),
                mean(trials, t -> Math.abs(t.uniformForecast.steady().fleet().mean() - t.steady())),
                mean(trials, t -> Math.abs(t.uniformForecast.soon().fleet().mean() - t.soon())),
                mean(trials, t -> Math.abs(t.knownCacheForecast.steady().fleet().mean() - t.steady())),
                mean(trials, t -> Math.abs(t.knownCacheForecast.soon().fleet().mean() - t.soon())));
    }

    private static double mean(List<ForecastTrial> trials, ToDoubleFunction<ForecastTrial> of) {
        return trials.stream().mapToDouble(of).average().orElse(0);
    }
}
