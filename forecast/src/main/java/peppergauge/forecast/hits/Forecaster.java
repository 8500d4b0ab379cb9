package peppergauge.forecast.hits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.statistics.distribution.NormalDistribution;
import peppergauge.forecast.memory.MemoryEstimate;
import peppergauge.forecast.memory.MemoryEstimate.Point;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.placement.Step;
import peppergauge.forecast.popularity.KeyClass;
import peppergauge.forecast.popularity.Popularity;
import peppergauge.forecast.popularity.Popularity.KeyCount;

/** Says what a change of placement does to hit rates, by what is known now. */
public final class Forecaster {

    /** How long "soon" is: memories are cold at first, and warm again by then. */
    public static final double SOON_MS = 30_000;

    /** Moments in it that are looked at. */
    private static final int MOMENTS = 20;
    /** Long after any change. */
    private static final double STEADY_MS = 1e9;
    /** By how much the model itself was off on drawn worlds, standard deviation. */
    private static final double MODEL_ERROR = 0.007;
    /** And while memories are cold. */
    private static final double COLD_MODEL_ERROR = 0.006;
    /** And more where servers' loads are bounded: which sessions spill is reckoned from means alone. */
    private static final double BOUND_ERROR = 0.012;

    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);

    private final Popularity popularity;
    private final MemoryEstimate memory;
    private final Placement placement;
    private final List<String> stations;
    /** What the keys may be like; one if all are sampled. */
    private final List<List<KeyClass>> populations = new ArrayList<>();

    private final List<Point> points = new ArrayList<>();

    /** Not for no sampled key at all. */
    public Forecaster(Popularity popularity, MemoryEstimate memory, Placement placement) {
        this.popularity = popularity;
        this.memory = memory;
        this.placement = placement;
        stations = List.copyOf(new TreeSet<>(Stream.concat(popularity.keys().stream(), popularity.heavy().stream())
                .map(KeyCount::station)
                .toList()));
        if (stations.isEmpty()) {
            throw new IllegalArgumentException("no sampled key came");
        }
        List<KeyClass> only = KeyClass.told(popularity, stations);
        if (!only.isEmpty()) {
            populations.add(only);
            points.addAll(memory.points());
        } else {
            double off = Math.min(0.6, Math.sqrt(0.75 / KeyClass.head(popularity)));
            for (double each : new double[] {-off, 0, off}) {
                populations.add(KeyClass.withHead(popularity, stations, each));
            }
            // The i-th point goes with population i modulo 3: so many points meet all, a few have to do so thrice.
            int times = memory.points().size() < 9 ? 3 : 1;
            for (Point point : memory.points()) {
                points.addAll(
                        Collections.nCopies(times, new Point(point.lifeMs(), point.keys(), point.weight() / times)));
            }
        }
    }

    public Forecast forecast(PlacementChange change) {
        List<Step> steps = change.steps(placement);
        return new Forecast(rates(List.of(), STEADY_MS, 1), rates(steps, 0, MOMENTS), rates(steps, STEADY_MS, 1));
    }

    /** Hit rates as sessions are placed now. */
    public HitRates now() {
        return rates(List.of(), STEADY_MS, 1);
    }

    /**
     * Work beyond the usual that a station's sessions in a zone make while memories are cold for them, if its share
     * there grows: in the mean over {@link #SOON_MS}, in the station's mean work there. The share is made by weights,
     * as steering does.
     */
    public double extraWork(String station, String zone, double fromShare, double toShare) {
        if (toShare <= fromShare || !stations.contains(station) || !(fromShare >= 0 && toShare <= 1)) {
            return 0;
        }
        Placement from = shared(station, zone, fromShare);
        Placement to = shared(station, zone, toShare);
        Forecaster usual = new Forecaster(popularity, memory, from);
        List<Step> steps = List.of(new Step(0, to));
        double steady = usual.inZone(steps, STEADY_MS, 1, station, zone);
        double cold = Math.max(0, steady - usual.inZone(steps, 0, MOMENTS, station, zone));
        double work = memory.saving() * cold / (1 - memory.saving() * steady);
        assert work >= 0 && work < Double.POSITIVE_INFINITY : "moving " + station + " to " + zone + " makes " + work;
        return work;
    }

    /** Hit rate of one station's sessions in one zone. */
    private double inZone(List<Step> steps, double fromMs, int moments, String station, String zone) {
        Course course = new Course(placement, steps, stations, popularity);
        Set<String> inside = placement.servers().stream()
                .filter(server -> server.zone().equals(zone))
                .map(Placement.Server::id)
                .collect(Collectors.toSet());
        int at = stations.indexOf(station);
        double rate = 0;
        List<Spell> spells = spells(course, fromMs, moments);
        for (int i = 0; i < spells.size(); i++) {
            double missed = 0;
            double sessions = 0;
            for (int group = 0; group < course.groups.size(); group++) {
                // Groups hold servers of like parts, and zones may have them: each counts as its servers inside.
                List<String> ids = course.groups.get(group).ids();
                double part = (double) ids.stream().filter(inside::contains).count() / ids.size();
                missed += part * spells.get(i).groupMisses[group][at];
                sessions += part * spells.get(i).groupSessions[group][at];
            }
            rate += sessions > 0 ? points.get(i).weight() * (1 - missed / sessions) : 0;
        }
        return rate;
    }

    /** Only this station's sessions, leaning to the zone until it has this share there. */
    private Placement shared(String station, String zone, double share) {
        double inside = 0;
        double outside = 0;
        for (Placement.Server server : placement.servers()) {
            if (server.zone().equals(zone)) {
                inside += server.weight();
            } else {
                outside += server.weight();
            }
        }
        double held = Math.max(1e-6, Math.min(1 - 1e-6, share));
        double factor = inside == 0 || outside == 0 ? 1 : held / (1 - held) * outside / inside;
        Map<String, Map<String, Double>> steering = new HashMap<>(placement.steering());
        steering.put(station, Map.of(zone, factor));
        return new Placement(
                placement.servers(), placement.rule(), placement.members(), placement.sidecars(), steering);
    }

    // ---- Means and intervals ----

    /** @param moments spread over what is soon, or 1 for that one */
    private HitRates rates(List<Step> steps, double fromMs, int moments) {
        Course course = new Course(placement, steps, stations, popularity);
        List<Spell> spells = spells(course, fromMs, moments);
        double modelError = (moments == 1 ? MODEL_ERROR : COLD_MODEL_ERROR)
                + (course.placements.stream().anyMatch(Forecaster::bounded) ? BOUND_ERROR : 0);
        Map<String, HitRate> ofStations = new HashMap<>();
        for (int station = 0; station < stations.size(); station++) {
            int only = station;
            ofStations.put(stations.get(station), rate(spells, each -> each.station() == only, false, modelError));
        }
        double sessions = popularity.sessions() * SOON_MS / popularity.spanMs();
        return new HitRates(
                rate(spells, each -> true, true, modelError),
                ofStations,
                servers(course, spells, modelError),
                rise(course, spells),
                sessions,
                course.placements.get(course.placements.size() - 1));
    }

    private static boolean bounded(Placement placement) {
        return placement.rule() instanceof Placement.Rendezvous rule && rule.bound() > 1;
    }

    private List<Spell> spells(Course course, double fromMs, int moments) {
        List<Spell> spells = new ArrayList<>();
        for (Point point : points) {
            Spell spell = new Spell(
                    course,
                    populations.get(spells.size() % populations.size()),
                    popularity.spanMs(),
                    popularity.share());
            double settledMs = course.fromMs[course.fromMs.length - 1] + point.lifeMs();
            int settled = 0;
            for (int i = 0; i < moments; i++) {
                double atMs = moments == 1 ? fromMs : SOON_MS * (i + 0.5) / moments;
                if (atMs >= settledMs) {
                    settled++;
                } else {
                    spell.add(atMs, point.lifeMs(), point.keys(), 1.0 / moments);
                }
            }
            if (settled > 0) {
                // Nothing from before the last step is remembered: all such moments are alike.
                spell.add(STEADY_MS, point.lifeMs(), point.keys(), (double) settled / moments);
            }
            spells.add(spell);
        }
        return spells;
    }

    /** Of the hit rate by a server's luck: a line through what servers of the same kind have, by least squares. */
    private double rise(Course course, List<Spell> spells) {
        double cross = 0;
        double squares = 0;
        for (int first = 0; first < course.groups.size(); ) {
            List<String> ids = course.groups.get(first).ids();
            int next = first;
            double sessions = 0;
            double missed = 0;
            while (next < course.groups.size() && course.groups.get(next).ids() == ids) {
                sessions += sum(spells, next, true);
                missed += sum(spells, next++, false);
            }
            for (int at = first; at < next && sessions > 0; at++) {
                double luck = sum(spells, at, true) * (next - first) / sessions - 1;
                double own = sum(spells, at, true);
                cross += own * luck * (missed / sessions - sum(spells, at, false) / Math.max(1e-9, own));
                squares += own * luck * luck;
            }
            first = next;
        }
        return squares > 0 ? cross / squares : 0;
    }

    private static double sum(List<Spell> spells, int group, boolean sessions) {
        return spells.stream()
                .mapToDouble(spell -> Arrays.stream(sessions ? spell.groupSessions[group] : spell.groupMisses[group])
                        .sum())
                .sum();
    }

    /** @param total whether the sum of all sessions is told, not only of the sampled ones */
    private HitRate rate(List<Spell> spells, Predicate<KeyClass> which, boolean total, double modelError) {
        double[] means = new double[spells.size()];
        double[] errors = new double[spells.size()];
        for (int i = 0; i < means.length; i++) {
            double[] found = estimate(spells.get(i), which, total);
            means[i] = found[0];
            errors[i] = Math.sqrt(found[1] + modelError * modelError);
        }
        return mixed(means, errors);
    }

    /**
     * Hit rate and its variance. Where the sum of all sessions is told, a regression on it corrects for popular keys
     * that were or were not drawn (as in the general regression estimator: Sarndal, Swensson and Wretman 1992).
     */
    private double[] estimate(Spell spell, Predicate<KeyClass> which, boolean total) {
        double sessions = 0;
        double missed = 0;
        double cross = 0;
        double squares = 0;
        double keys = 0;
        for (int i = 0; i < spell.classes.size(); i++) {
            KeyClass each = spell.classes.get(i);
            if (which.test(each)) {
                sessions += each.keys() * each.count();
                missed += each.keys() * spell.misses[i];
                if (!each.known()) {
                    keys += each.keys();
                    cross += each.keys() * spell.misses[i] * each.count();
                    squares += each.keys() * each.count() * each.count();
                }
            }
        }
        if (sessions <= 0) {
            // None of its keys is left beside the curve: nothing is known of it.
            return new double[] {0.5, 1};
        }
        double all = total ? popularity.sessions() * popularity.share() : sessions;
        double slope = total && squares > 0 ? cross / squares : missed / sessions;
        double rate = Math.max(0, Math.min(1, (missed + slope * (all - sessions)) / all));
        double variance = 0;
        for (int i = 0; i < spell.classes.size(); i++) {
            KeyClass each = spell.classes.get(i);
            if (which.test(each)) {
                double off = spell.misses[i] - slope * each.count();
                double counted = spell.slopes[i] - rate;
                variance += each.keys()
                        * (each.known()
                                ? popularity.share() * each.count() * counted * counted
                                : (1 - popularity.share()) * off * off + each.count() * counted * counted);
            }
        }
        // Few keys underrate their own variance, and the sessions to come are counted, too.
        double few = 1 + 4 * (1 - popularity.share()) / Math.max(1, keys);
        double ahead = rate * (1 - rate) / Math.max(1, all / popularity.share() * SOON_MS / popularity.spanMs());
        return new double[] {1 - rate, few * variance / (all * all) + ahead};
    }

    private Map<String, HitRate> servers(Course course, List<Spell> spells, double modelError) {
        Map<String, HitRate> rates = new HashMap<>();
        for (int first = 0; first < course.groups.size(); ) {
            List<String> ids = course.groups.get(first).ids();
            int next = first + 1;
            while (next < course.groups.size() && course.groups.get(next).ids() == ids) {
                next++;
            }
            double[] means = new double[spells.size()];
            double[] errors = new double[spells.size()];
            boolean used = true;
            for (int i = 0; i < means.length; i++) {
                ServerShare share = new ServerShare(spells.get(i), first, next, ids.size());
                used &= share.sessions > 0;
                means[i] = 1 - share.missed();
                double ahead = share.sessions / popularity.share() * SOON_MS / popularity.spanMs();
                errors[i] = Math.sqrt(means[i] * (1 - means[i]) / Math.max(1, ahead)
                        + modelError * modelError
                        + share.variance()
                        + estimate(spells.get(i), any -> true, true)[1]);
            }
            if (used) {
                HitRate rate = mixed(means, errors);
                ids.forEach(id -> rates.put(id, rate));
            }
            first = next;
        }
        return rates;
    }

    /** What one server of some groups gets and misses, and how unlike such servers are. */
    private static final class ServerShare {
        private double sessions;
        private double misses;
        private double between;
        private final double[] squares = new double[3];

        ServerShare(Spell spell, int first, int next, int servers) {
            for (int at = first; at < next; at++) {
                double own = Arrays.stream(spell.groupSessions[at]).sum() / servers;
                double missed = Arrays.stream(spell.groupMisses[at]).sum() / servers;
                sessions += own;
                misses += missed;
                between += own > 0 ? missed * missed / own : 0;
                for (int i = 0; i < squares.length; i++) {
                    squares[i] += spell.groupSquares[at][i] / (next - first);
                }
            }
        }

        double missed() {
            return sessions > 0 ? Math.min(1, misses / sessions) : 1;
        }

        /** By which keys it has, and by how many sidecars have it as a member. */
        double variance() {
            double keys = squares[2] - 2 * missed() * squares[1] + missed() * missed() * squares[0];
            return sessions > 0
                    ? Math.max(0, keys) / (sessions * sessions) + Math.max(0, between / sessions - missed() * missed())
                    : 0;
        }
    }

    /** Mean and interval of a mixture of normal distributions, weighted as the memory's points. */
    private HitRate mixed(double[] means, double[] errors) {
        double mean = 0;
        for (int i = 0; i < means.length; i++) {
            mean += points.get(i).weight() * means[i];
        }
        double low = quantile(means, errors, 0.05);
        double high = quantile(means, errors, 0.95);
        return new HitRate(mean, Math.max(0, Math.min(mean, low)), Math.min(1, Math.max(mean, high)));
    }

    private double quantile(double[] means, double[] errors, double share) {
        double low = -1;
        double high = 2;
        for (int halving = 0; halving < 30; halving++) {
            double mid = (low + high) / 2;
            double below = 0;
            for (int i = 0; i < means.length; i++) {
                below += points.get(i).weight() * NORMAL.cumulativeProbability((mid - means[i]) / errors[i]);
            }
            if (below < share) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return low;
    }
}
