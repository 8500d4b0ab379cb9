package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.LongStream;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.hitrate.Forecast;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.observation.ObservedHitRate;

/**
 * Measures which forecasters {@link ForecastAccuracy} stops trusting when hit rates after a change are known only by
 * the estimates of {@link SeenTrial}. Each workload is one fleet whose change is repeated, each time with different
 * random requests. Arguments: first seed, number of workloads, highest load, number of changes.
 */
final class SayTrial {

    /** Largest error of an observed hit rate that is scored; same value as in the fleet service. */
    private static final double MAX_SCORED_ERROR = 0.05;

    /** Error of the model of observed hit rates; same value as in the fleet service. */
    private static final double MODEL_ERROR = 0.01;

    /** One window after a change: observed hit rates and the forecasts. */
    private record ScoredWindow(
            HitRate exact,
            HitRate forecast,
            HitRate largerCache,
            HitRate smallerCache,
            double before,
            double seen,
            double error) {}

    private SayTrial() {}

    /** By change, the windows soon and steady as far as they can be scored. */
    private static List<List<ScoredWindow>> windowsByChange(CacheWorkload workload, double load, int changes) {
        ForecastTrial forecasts = new ForecastTrial(workload);
        Forecast largerCache = forecasts.forecastWithScaledCache(4);
        Forecast smallerCache = forecasts.forecastWithScaledCache(0.25);
        List<List<ScoredWindow>> fleet = new ArrayList<>();
        for (int change = 0; change < changes; change++) {
            SeenTrial trial = new SeenTrial(workload, load, change == 0 ? "" : " " + change);
            List<ScoredWindow> windows = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                ObservedHitRate before = trial.seen[0];
                ObservedHitRate seen = trial.seen[i];
                if (before.error() <= MAX_SCORED_ERROR && seen.error() <= MAX_SCORED_ERROR) {
                    double truth = trial.truth[i];
                    windows.add(new ScoredWindow(
                            new HitRate(truth, truth, truth),
                            fleetHitRate(forecasts.forecast(), i),
                            fleetHitRate(largerCache, i),
                            fleetHitRate(smallerCache, i),
                            clamp(before.rate()),
                            clamp(seen.rate()),
                            StrictMath.hypot(MODEL_ERROR, seen.error())));
                }
            }
            fleet.add(windows);
        }
        return fleet;
    }

    private static HitRate fleetHitRate(Forecast forecast, int window) {
        return (window == 1 ? forecast.soon() : forecast.steady()).fleet();
    }

    private static double clamp(double rate) {
        return Math.max(0, Math.min(1, rate));
    }

    public static void main(String[] args) {
        long from = Long.parseLong(args[0]);
        List<List<List<ScoredWindow>>> fleets = LongStream.range(from, from + Long.parseLong(args[1]))
                .parallel()
                .mapToObj(SeenTrial::workload)
                .filter(found -> found != null)
                .map(found -> windowsByChange(found, Double.parseDouble(args[2]), Integer.parseInt(args[3])))
                .toList();
        List<List<List<ScoredWindow>>> usable = fleets.stream()
                .filter(fleet -> fleet.stream().mapToInt(List::size).sum() >= 6)
                .toList();
        System.out.printf(
                "fleets %d, fleets with at least six outcomes %d, outcomes %d%n",
                fleets.size(),
                usable.size(),
                usable.stream().flatMap(List::stream).mapToInt(List::size).sum());
        print("exact", usable, ScoredWindow::exact);
        print("forecast", usable, ScoredWindow::forecast);
        print("cache times 4", usable, ScoredWindow::largerCache);
        print("cache divided by 4", usable, ScoredWindow::smallerCache);
    }

    private static void print(
            String name, List<List<List<ScoredWindow>>> fleets, Function<ScoredWindow, HitRate> forecaster) {
        List<Integer> untrusted = new ArrayList<>();
        int held = 0;
        int outcomes = 0;
        double errors = 0;
        for (List<List<ScoredWindow>> fleet : fleets) {
            ForecastAccuracy record = new ForecastAccuracy();
            int untrustedAt = 0;
            for (int change = 0; change < fleet.size(); change++) {
                for (ScoredWindow window : fleet.get(change)) {
                    HitRate forecast = forecaster.apply(window);
                    held += record.record(forecast, window.before(), window.seen(), window.error()) ? 1 : 0;
                    errors += Math.abs(forecast.mean() - window.seen());
                    outcomes++;
                }
                untrustedAt = untrustedAt == 0 && !record.isTrusted() ? change + 1 : untrustedAt;
            }
            untrusted.add(untrustedAt);
        }
        System.out.printf(
                "%s: error %.3f, held %.3f, change after which it is not trusted (0: never) %s%n",
                name, errors / outcomes, (double) held / outcomes, untrusted);
    }
}
