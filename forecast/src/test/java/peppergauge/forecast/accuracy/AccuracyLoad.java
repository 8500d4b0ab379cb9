package peppergauge.forecast.accuracy;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.invariant.Loads;

/**
 * Random load on {@link ForecastAccuracy}: forecasts are accurate and inaccurate by turns, and state is restored in
 * between. Compares trust with the documented rule.
 */
public final class AccuracyLoad {

    private static final int STEPS = Loads.steps(400);

    private record Outcome(boolean missed, double error, double baselineError) {}

    private AccuracyLoad() {}

    /** @throws AssertionError if a check fails */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ForecastAccuracy accuracy = new ForecastAccuracy();
        List<Outcome> outcomes = new ArrayList<>();
        double inaccurateShare = 0;
        for (int i = 0; i < STEPS; i++) {
            inaccurateShare = random.nextInt(25) == 0 ? random.nextInt(3) * 0.3 : inaccurateShare;
            double observed = random.nextDouble();
            double mean = random.nextDouble() >= inaccurateShare
                    ? observed
                    : random.nextBoolean() ? random.nextDouble() : Math.min(1, observed + 0.006);
            // Some forecasts miss their interval by so little that they are not worse than the baseline.
            double half = random.nextBoolean() ? 0.1 : 0.004;
            HitRate forecast = new HitRate(mean, Math.max(0, mean - half), Math.min(1, mean + half));
            double before = random.nextDouble() < 0.5 ? observed : Math.min(1, observed + 0.02);
            boolean trusted = accuracy.isTrusted();
            if (random.nextInt(10) == 0) {
                accuracy = restarted(accuracy);
            }
            accuracy.record(forecast, before, observed);
            outcomes.add(
                    new Outcome(!forecast.contains(observed), Math.abs(mean - observed), Math.abs(before - observed)));
            checkTrust(trusted, accuracy.isTrusted(), outcomes);
            if (trusted && !accuracy.isTrusted()) {
                outcomes.clear();
            } else if (!trusted && accuracy.isTrusted()) {
                outcomes.subList(0, outcomes.size() - 10).clear();
            }
            require(
                    accuracy.meanError() >= 0 && accuracy.meanError() <= 1 && accuracy.meanBaselineError() <= 1,
                    "expected mean errors from 0 to 1 but was " + accuracy.meanError() + " and "
                            + accuracy.meanBaselineError());
            require(
                    accuracy.ifTrusted(forecast).equals(accuracy.isTrusted() ? forecast : HitRate.UNKNOWN),
                    "expected an unknown hit rate exactly if forecasts are not trusted");
        }
    }

    /** Returns a new instance with the same state, so that the rule continues to apply across a restart. */
    private static ForecastAccuracy restarted(ForecastAccuracy accuracy) {
        ForecastAccuracy next = new ForecastAccuracy();
        next.importState(accuracy.exportState());
        require(
                next.exportState().equals(accuracy.exportState()),
                "expected the restored state " + accuracy.exportState() + " but was " + next.exportState());
        return next;
    }

    private static void checkTrust(boolean before, boolean now, List<Outcome> outcomes) {
        List<Outcome> last = outcomes.subList(Math.max(0, outcomes.size() - (before ? 20 : 10)), outcomes.size());
        long missed = last.stream().filter(Outcome::missed).count();
        boolean worseThanBaseline = last.stream()
                        .mapToDouble(each -> each.error() - each.baselineError())
                        .average()
                        .orElse(0)
                > 0.01;
        if (before) {
            require(
                    now == (missed < 6 && !(worseThanBaseline && last.size() >= 6)) || isAtTolerance(last),
                    "expected trust to be " + (now ? "lost" : "kept") + " after " + last);
        } else {
            require(
                    now == (last.size() == 10 && missed <= 1 && !worseThanBaseline) || isAtTolerance(last),
                    "expected trust to be " + (now ? "withheld" : "regained") + " after " + last);
        }
    }

    /** Returns whether the two means differ by just the tolerance, so that rounding decides. */
    private static boolean isAtTolerance(List<Outcome> last) {
        return Loads.near(
                0.01,
                last.stream()
                        .mapToDouble(each -> each.error() - each.baselineError())
                        .average()
                        .orElse(0));
    }
}
