package peppergauge.forecast.accuracy;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.invariant.Loads;

/**
 * Forecasts that are right and wrong for a while; the say that they have is held against the rule as it is
 * written, over restarts, too.
 */
public final class AccuracyLoad {

    private static final int STEPS = Loads.steps(400);

    private record Seen(boolean missed, double off, double plainOff) {}

    private AccuracyLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ForecastAccuracy record = new ForecastAccuracy();
        List<Seen> since = new ArrayList<>();
        double wrong = 0;
        for (int i = 0; i < STEPS; i++) {
            wrong = random.nextInt(25) == 0 ? random.nextInt(3) * 0.3 : wrong;
            double seen = random.nextDouble();
            double mean = random.nextDouble() >= wrong
                    ? seen
                    : random.nextBoolean() ? random.nextDouble() : Math.min(1, seen + 0.006);
            // Some miss their interval by so little that they are not worse than to say that nothing changes.
            double half = random.nextBoolean() ? 0.1 : 0.004;
            HitRate said = new HitRate(mean, Math.max(0, mean - half), Math.min(1, mean + half));
            double before = random.nextDouble() < 0.5 ? seen : Math.min(1, seen + 0.02);
            boolean trusted = record.isTrusted();
            if (random.nextInt(10) == 0) {
                record = restarted(record);
            }
            record.record(said, before, seen);
            since.add(new Seen(!said.contains(seen), Math.abs(mean - seen), Math.abs(before - seen)));
            check(trusted, record.isTrusted(), since);
            if (trusted && !record.isTrusted()) {
                since.clear();
            } else if (!trusted && record.isTrusted()) {
                since.subList(0, since.size() - 10).clear();
            }
            require(
                    record.meanError() >= 0 && record.meanError() <= 1 && record.meanBaselineError() <= 1,
                    "off by " + record.meanError());
            require(record.ifTrusted(said).equals(record.isTrusted() ? said : HitRate.UNKNOWN), "heard without trust");
        }
    }

    /** What the load tells of the rule goes on as if nothing had been. */
    private static ForecastAccuracy restarted(ForecastAccuracy record) {
        ForecastAccuracy next = new ForecastAccuracy();
        next.importState(record.exportState());
        require(
                next.exportState().equals(record.exportState()),
                "kept is " + record.exportState() + ", restored " + next.exportState());
        return next;
    }

    private static void check(boolean before, boolean now, List<Seen> since) {
        List<Seen> last = since.subList(Math.max(0, since.size() - (before ? 20 : 10)), since.size());
        long missed = last.stream().filter(Seen::missed).count();
        boolean worse = last.stream()
                        .mapToDouble(each -> each.off() - each.plainOff())
                        .average()
                        .orElse(0)
                > 0.01;
        if (before) {
            require(
                    now == (missed < 6 && !(worse && last.size() >= 6)) || near(last),
                    "the say is " + (now ? "kept" : "lost") + " after " + last);
        } else {
            require(
                    now == (last.size() == 10 && missed <= 1 && !worse) || near(last),
                    "the say is " + (now ? "given back" : "withheld") + " after " + last);
        }
    }

    /** The two means differ by just as much as they may: rounding decides. */
    private static boolean near(List<Seen> last) {
        return Loads.near(
                0.01,
                last.stream()
                        .mapToDouble(each -> each.off() - each.plainOff())
                        .average()
                        .orElse(0));
    }
}
