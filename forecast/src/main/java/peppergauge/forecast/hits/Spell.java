package peppergauge.forecast.hits;

import java.util.List;
import peppergauge.forecast.hits.Course.Group;
import peppergauge.forecast.placement.Homes;
import peppergauge.forecast.popularity.KeyClass;

/**
 * Misses at one moment, given what memories are like. A memory that keeps the keys met last, so many and each for so
 * long, has a reach: the time since when its server met as many other keys (Che, Tung and Wang, JSAC 2002; why that
 * holds: Fricker, Robert and Roberts, ITC 2012), or the life of a key if that is shorter (caches by time to live:
 * Fofack, Nain, Neglia and Towsley, VALUETOOLS 2012). A session hits if its key came there within the reach. After a
 * change the reach is looked for over the sessions that really went there, by old and new placement; none did before a
 * server's start.
 *
 * <p>Counts are taken as Poisson: a key that came n times in the span, each time with chance x into the part looked
 * at, counts n (1 - x)^(n - 1) misses. That is free of bias where the exponential of an estimated rate is not (Good
 * and Toulmin, Biometrika 1956).
 */
final class Spell {

    private static final int HALVINGS = 11;

    private final Course course;
    final List<KeyClass> classes;
    private final double spanMs;
    private final double sampled;
    private final double whole;
    /** Expected misses and their slope by count, by class. */
    final double[] misses;

    final double[] slopes;
    /** By group, then by station. */
    final double[][] groupMisses;

    final double[][] groupSessions;
    /** By group: sums of a server's squared sessions with a key, of these times the missed share, and its square. */
    final double[][] groupSquares;

    /** @param sampled share of keys */
    Spell(Course course, List<KeyClass> classes, double spanMs, double sampled) {
        this.course = course;
        this.classes = classes;
        this.spanMs = spanMs;
        this.sampled = sampled;
        whole = classes.stream().mapToDouble(each -> each.keys() * each.count()).sum();
        misses = new double[classes.size()];
        slopes = new double[classes.size()];
        // Also of stations of which no key is left beside the curve.
        int stations = course.groups.get(0).parts().length;
        groupMisses = new double[course.groups.size()][stations];
        groupSessions = new double[course.groups.size()][stations];
        groupSquares = new double[course.groups.size()][3];
    }

    /** Adds what is missed at a moment, with this weight. */
    void add(double atMs, double lifeMs, double keys, double weight) {
        for (int i = 0; i < course.groups.size(); i++) {
            Group group = course.groups.get(i);
            if (group.parts()[0][course.step(atMs)] > 0) {
                add(i, group, atMs, reachMs(group, atMs, lifeMs, keys), weight);
            }
        }
    }

    private double reachMs(Group group, double atMs, double lifeMs, double keys) {
        double high = lifeMs;
        if (met(group, atMs, high) <= keys) {
            return lifeMs;
        }
        double low = 0;
        for (int i = 0; i < HALVINGS; i++) {
            double mid = (low + high) / 2;
            if (met(group, atMs, mid) <= keys) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return low;
    }

    /** Keys that a server meets in so many ms up to a moment. */
    private double met(Group group, double atMs, double ms) {
        double sum = 0;
        for (KeyClass each : classes) {
            Chances chances = chances(group, each);
            for (int i = 0; i < chances.upTo.length; i++) {
                double came = came(group, each, chances, i, atMs, ms);
                sum += each.keys() * chances.width(i) * (1 - Math.exp(each.count() * Math.log1p(-came)));
            }
        }
        return sum / sampled;
    }

    private void add(int at, Group group, double atMs, double reachMs, double weight) {
        int step = course.step(atMs);
        for (int i = 0; i < classes.size(); i++) {
            KeyClass each = classes.get(i);
            Chances chances = chances(group, each);
            for (int j = 0; j < chances.upTo.length; j++) {
                double now = part(group, each, chances, j, step) * chances.width(j) * group.count() * weight;
                if (now > 0) {
                    double left = Math.log1p(-came(group, each, chances, j, atMs, reachMs));
                    double share = Math.exp((each.count() - 1) * left);
                    misses[i] += each.count() * now * share;
                    slopes[i] += now * share * (1 + each.count() * left);
                    groupMisses[at][each.station()] += each.keys() * each.count() * now * share;
                    groupSessions[at][each.station()] += each.keys() * each.count() * now;
                    square(
                            at,
                            each.keys()
                                    * now
                                    * each.count()
                                    * each.count()
                                    * part(group, each, chances, j, step)
                                    / group.count(),
                            share);
                }
            }
        }
    }

    private void square(int at, double squared, double share) {
        groupSquares[at][0] += squared;
        groupSquares[at][1] += squared * share;
        groupSquares[at][2] += squared * share * share;
    }

    /** Chances of a key to have a server of the group in each step, nested: who keeps the greatest has them all. */
    private static final class Chances {
        private final double[] ofStep;
        private final double[] upTo;

        Chances(double[] ofStep) {
            this.ofStep = ofStep;
            upTo = java.util.stream.DoubleStream.concat(
                            java.util.Arrays.stream(ofStep), java.util.stream.DoubleStream.of(1))
                    .filter(chance -> chance > 0)
                    .sorted()
                    .distinct()
                    .toArray();
        }

        double width(int i) {
            return upTo[i] - (i == 0 ? 0 : upTo[i - 1]);
        }
    }

    private static final Chances SURE = new Chances(new double[] {1});

    private Chances chances(Group group, KeyClass each) {
        if (course.homes.stream().allMatch(Homes::anywhere)) {
            return SURE;
        }
        double[] chances = new double[course.fromMs.length];
        for (int step = 0; step < chances.length; step++) {
            chances[step] = course.homes.get(step).chance(group.parts()[each.station()][step], each.count() / whole);
        }
        return new Chances(chances);
    }

    /** A key's part of its sessions at a server in a step, given that it is among those with this chance. */
    private double part(Group group, KeyClass each, Chances chances, int i, int step) {
        double mean = group.parts()[each.station()][step];
        if (chances == SURE) {
            return mean;
        }
        return chances.upTo[i] <= chances.ofStep[step] ? mean / chances.ofStep[step] : 0;
    }

    /** Chance of one of the span's sessions with a key to come to a server in so many ms up to a moment. */
    private double came(Group group, KeyClass each, Chances chances, int i, double atMs, double ms) {
        double sum = 0;
        for (int step = 0; step < course.fromMs.length; step++) {
            double from = Math.max(atMs - ms, course.fromMs[step]);
            double to = step + 1 < course.fromMs.length ? Math.min(atMs, course.fromMs[step + 1]) : atMs;
            if (to > from) {
                sum += (to - from) * part(group, each, chances, i, step);
            }
        }
        return Math.min(0.999, sum / spanMs);
    }
}
