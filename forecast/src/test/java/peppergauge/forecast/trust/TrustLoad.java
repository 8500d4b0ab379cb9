package peppergauge.forecast.trust;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.forecast.hits.HitRate;
import peppergauge.invariant.Loads;

/**
 * Forecasts that are right and wrong for a while; the say that they have is held against the rule as it is
 * written, over restarts, too.
 */
public final class TrustLoad {

    private static final int STEPS = Loads.steps(400);

    private record Seen(boolean missed, double off, double plainOff) {}

    private TrustLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TrackRecord record = new TrackRecord();
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
            boolean trusted = record.trusted();
            if (random.nextInt(10) == 0) {
                record = restarted(record);
            }
            record.followed(said, before, seen);
            since.add(new Seen(!said.holds(seen), Math.abs(mean - seen), Math.abs(before - seen)));
            check(trusted, record.trusted(), since);
            if (trusted && !record.trusted()) {
                since.clear();
            } else if (!trusted && record.trusted()) {
                since.subList(0, since.size() - 10).clear();
            }
            require(record.off() >= 0 && record.off() <= 1 && record.plainOff() <= 1, "off by " + record.off());
            require(record.heard(said).equals(record.trusted() ? said : HitRate.UNKNOWN), "heard without trust");
        }
    }

    /** What the load tells of the rule goes on as if nothing had been. */
    private static TrackRecord restarted(TrackRecord record) {
        TrackRecord next = new TrackRecord();
        next.restore(record.kept());
        require(next.kept().equals(record.kept()), "kept is " + record.kept() + ", restored " + next.kept());
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
