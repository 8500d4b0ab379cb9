package peppergauge.forecast.hitrate;

import java.util.List;
import peppergauge.forecast.hitrate.PlacementTimeline.Group;
import peppergauge.forecast.placement.KeyPlacement;
import peppergauge.forecast.popularity.KeyClass;

/**
 * Expected misses at one moment, by a cache model.
 *
 * <p>An LRU cache with a size and a lifetime has a reach: the time since its server received as many other keys (Che,
 * Tung and Wang, JSAC 2002; Fricker, Robert and Roberts, ITC 2012), or the lifetime if that is shorter (Fofack, Nain,
 * Neglia and Towsley, VALUETOOLS 2012). A request hits if its key reached the server within the reach. After a change
 * the reach is computed over the requests that the server got by the old and the new placement.
 *
 * <p>Counts are taken as Poisson: a key with n requests in the span, each of which falls into the reach with
 * probability x, has n (1 - x)^(n - 1) expected misses, an unbiased estimate (Good and Toulmin, Biometrika 1956).
 */
final class MissModel {

    private static final int BISECTIONS = 11;

    private final PlacementTimeline timeline;
    final List<KeyClass> classes;
    private final double spanMs;
    private final double sampledShare;
    private final double totalRequests;
    /** Expected misses by class of keys. */
    final double[] misses;

    /** Slope of the misses by count, by class of keys. */
    final double[] slopes;
    /** Expected misses by group of servers, then by tenant. */
    final double[][] groupMisses;

    /** Expected requests by group of servers, then by tenant. */
    final double[][] groupRequests;
    /** By group: sums of a server's squared requests of a key, times the miss ratio to the power 0, 1 and 2. */
    final double[][] groupSquares;

    /** @param sampledShare share of keys that are sampled */
    MissModel(PlacementTimeline timeline, List<KeyClass> classes, double spanMs, double sampledShare) {
        this.timeline = timeline;
        this.classes = classes;
        this.spanMs = spanMs;
        this.sampledShare = sampledShare;
        totalRequests =
                classes.stream().mapToDouble(each -> each.keys() * each.count()).sum();
        misses = new double[classes.size()];
        slopes = new double[classes.size()];
        // Includes tenants whose keys are all replaced by the power-law curve.
        int tenants = timeline.groups.get(0).shares().length;
        groupMisses = new double[timeline.groups.size()][tenants];
        groupRequests = new double[timeline.groups.size()][tenants];
        groupSquares = new double[timeline.groups.size()][3];
    }

    /** Adds the misses at a moment, with a weight. */
    void add(double atMs, double lifeMs, double keys, double weight) {
        for (int i = 0; i < timeline.groups.size(); i++) {
            Group group = timeline.groups.get(i);
            if (group.shares()[0][timeline.stepAt(atMs)] > 0) {
                add(i, group, atMs, reachMs(group, atMs, lifeMs, keys), weight);
            }
        }
    }

    private double reachMs(Group group, double atMs, double lifeMs, double keys) {
        double high = lifeMs;
        if (distinctKeys(group, atMs, high) <= keys) {
            return lifeMs;
        }
        double low = 0;
        for (int i = 0; i < BISECTIONS; i++) {
            double mid = (low + high) / 2;
            if (distinctKeys(group, atMs, mid) <= keys) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return low;
    }

    /** Returns the distinct keys that a server gets in a time up to a moment. */
    private double distinctKeys(Group group, double atMs, double ms) {
        double sum = 0;
        for (KeyClass each : classes) {
            Probabilities probabilities = probabilities(group, each);
            for (int i = 0; i < probabilities.upTo.length; i++) {
                double arrival = arrivalProbability(group, each, probabilities, i, atMs, ms);
                sum += each.keys()
                        * probabilities.width(i)
                        * (1 - StrictMath.exp(each.count() * StrictMath.log1p(-arrival)));
            }
        }
        return sum / sampledShare;
    }

    private void add(int at, Group group, double atMs, double reachMs, double weight) {
        int step = timeline.stepAt(atMs);
        for (int i = 0; i < classes.size(); i++) {
            KeyClass each = classes.get(i);
            Probabilities probabilities = probabilities(group, each);
            for (int j = 0; j < probabilities.upTo.length; j++) {
                double requestShare = shareOfKey(group, each, probabilities, j, step)
                        * probabilities.width(j)
                        * group.count()
                        * weight;
                if (requestShare > 0) {
                    double logAbsence =
                            StrictMath.log1p(-arrivalProbability(group, each, probabilities, j, atMs, reachMs));
                    double missProbability = StrictMath.exp((each.count() - 1) * logAbsence);
                    misses[i] += each.count() * requestShare * missProbability;
                    slopes[i] += requestShare * missProbability * (1 + each.count() * logAbsence);
                    groupMisses[at][each.tenant()] += each.keys() * each.count() * requestShare * missProbability;
                    groupRequests[at][each.tenant()] += each.keys() * each.count() * requestShare;
                    addSquares(
                            at,
                            each.keys()
                                    * requestShare
                                    * each.count()
                                    * each.count()
                                    * shareOfKey(group, each, probabilities, j, step)
                                    / group.count(),
                            missProbability);
                }
            }
        }
    }

    private void addSquares(int at, double squared, double missProbability) {
        groupSquares[at][0] += squared;
        groupSquares[at][1] += squared * missProbability;
        groupSquares[at][2] += squared * missProbability * missProbability;
    }

    /**
     * Probability that a server of the group is one of the servers of a key, by step. The sets of keys are nested: the
     * set of the step with the highest probability includes those of all other steps.
     */
    private static final class Probabilities {
        private final double[] ofStep;
        private final double[] upTo;

        Probabilities(double[] ofStep) {
            this.ofStep = ofStep;
            upTo = java.util.stream.DoubleStream.concat(
                            java.util.Arrays.stream(ofStep), java.util.stream.DoubleStream.of(1))
                    .filter(probability -> probability > 0)
                    .sorted()
                    .distinct()
                    .toArray();
        }

        double width(int i) {
            return upTo[i] - (i == 0 ? 0 : upTo[i - 1]);
        }
    }

    private static final Probabilities CERTAIN = new Probabilities(new double[] {1});

    private Probabilities probabilities(Group group, KeyClass each) {
        if (timeline.keyPlacements.stream().allMatch(KeyPlacement::isUnrestricted)) {
            return CERTAIN;
        }
        double[] probabilities = new double[timeline.stepStartsMs.length];
        for (int step = 0; step < probabilities.length; step++) {
            probabilities[step] = timeline.keyPlacements
                    .get(step)
                    .probability(group.shares()[each.tenant()][step], each.count() / totalRequests);
        }
        return new Probabilities(probabilities);
    }

    /** Returns the share of a key's requests at a server in a step, given its class of probabilities. */
    private double shareOfKey(Group group, KeyClass each, Probabilities probabilities, int i, int step) {
        double mean = group.shares()[each.tenant()][step];
        if (probabilities == CERTAIN) {
            return mean;
        }
        return probabilities.upTo[i] <= probabilities.ofStep[step] ? mean / probabilities.ofStep[step] : 0;
    }

    /** Returns the probability that one request of a key in the span reaches a server in a time up to a moment. */
    private double arrivalProbability(
            Group group, KeyClass each, Probabilities probabilities, int i, double atMs, double ms) {
        double sum = 0;
        for (int step = 0; step < timeline.stepStartsMs.length; step++) {
            double from = Math.max(atMs - ms, timeline.stepStartsMs[step]);
            double to =
                    step + 1 < timeline.stepStartsMs.length ? Math.min(atMs, timeline.stepStartsMs[step + 1]) : atMs;
            if (to > from) {
                sum += (to - from) * shareOfKey(group, each, probabilities, i, step);
            }
        }
        return Math.min(0.999, sum / spanMs);
    }
}
