package peppergauge.decision;
import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.Learned.Figure;
import peppergauge.decision.Learned.Fleet;
import peppergauge.decision.Learned.Kind;
import peppergauge.decision.Learned.Known;

/**
 * Reads out what {@link Decide} learned, and writes it back into an instance that starts.
 *
 * <p>While it lay, a figure aged as it would have in the module: sums and weights halve every half-life. What may have
 * changed unseen takes a further half. Of a server so little is believed that it bends the draw and never closes the
 * door: no recalled record alone puts one under the cut from which on only the floor draws it, and a rest comes back
 * as that after a first failure. If the first answers show a fleet that is slower than the recalled one, the fleet's
 * figures are dropped: they would hold requests back from servers that have room by today's measure.
 */
final class Memory {

    /** What is left of a weight for having been away at all. */
    private static final double BELIEF = 0.5;
    /** Under this weight, in outcomes, a figure is none: it is what the module's own first guess weighs. */
    private static final double LEAST_WEIGHT = 1e-3;
    /** Most outcomes that a server's recalled failures count: all failed, it stays over the failing cut. */
    private static final double MOST_OUTCOMES = 1;
    /** The same for its errors just now, which are mixed with fewer of the others' mean. */
    private static final double MOST_LATELY = 0.5;
    /** The same for its latency: one twice as slow keeps a thirtieth of a usual server's draw, over the floor. */
    private static final double MOST_LATENCIES = 2;
    /** A latency when idle is a minimum, which a fleet that was not watched may have left: none beyond this growth. */
    private static final double MOST_GROWTH = 1.6;
    /** So many first answers are compared with the recalled latency, and so many times that is too slow. */
    private static final int PROVING_ANSWERS = 12;
    private static final double TOO_SLOW = 1.5;

    private final Decide module;
    private double recalledMs;
    private double recalledAtMs;
    private double freshSum;
    private int fresh;

    Memory(Decide module) {
        this.module = module;
    }

    // ---- Out ----

    static Learned read(Decide module, double nowMs, int from, int most) {
        List<Server> all = module.ordered;
        List<Known> known = new ArrayList<>();
        for (Server server : all.subList(Math.min(from, all.size()), Math.min(from + most, all.size()))) {
            if (server.outcomes.weight(nowMs) + server.errors.weight(nowMs) >= LEAST_WEIGHT) {
                known.add(known(server, nowMs));
            }
        }
        List<Kind> classes = new ArrayList<>();
        for (Decide.ClassStats stats : module.classStats) {
            classes.add(new Kind(figure(stats.latency, nowMs), figure(stats.overall, nowMs), stats.lastFactor));
        }
        return new Learned(all.size(), fleet(module, nowMs), classes, known);
    }

    private static Fleet fleet(Decide module, double nowMs) {
        double seenMs = Double.isNaN(module.firstEventMs) ? 0 : nowMs - module.firstEventMs;
        return new Fleet(seenMs, figure(module.fleetLatency, nowMs), figure(module.fleetUnit, nowMs),
                figure(module.fleetErrors, nowMs), figure(module.flights, nowMs), figure(module.crowd, nowMs),
                figure(module.served, nowMs), figure(module.fleetUse, nowMs), figure(module.fleetRate, nowMs),
                figure(module.covariance, nowMs), figure(module.variance, nowMs), figure(module.arrivals, nowMs),
                module.crowding, module.unloadedMs * growth(nowMs - module.unloadedAtMs));
    }

    private static Known known(Server server, double nowMs) {
        return new Known(server.id, Math.max(0, server.startedMs), figure(server.latency, nowMs),
                figure(server.warmLatency, nowMs), figure(server.outcomes, nowMs), figure(server.errors, nowMs),
                figure(server.lately, nowMs), figure(server.flights, nowMs),
                server.unloadedMs * growth(nowMs - server.unloadedAtMs), Math.max(0, server.restUntilMs - nowMs));
    }

    /** Read without decaying the original: a decay in two steps rounds otherwise than in one. */
    private static Figure figure(Decaying from, double nowMs) {
        double keep = halved(nowMs - from.atMs, from.halfLifeMs);
        return from.weight > 0 ? new Figure(from.sum * keep, from.weight * keep) : Figure.NONE;
    }

    // ---- Back in ----

    void write(double nowMs, Learned learned, double ageMs) {
        if (!(ageMs >= 0 && ageMs < Learned.MOST_AGE_MS)) {
            return;
        }
        module.nowMs = nowMs;
        if (learned.fleet() != null && module.fleetLatency.weight == 0) {
            write(learned.fleet(), ageMs);
            for (int i = 0; i < Math.min(module.classStats.length, learned.classes().size()); i++) {
                write(module.classStats[i], learned.classes().get(i), ageMs);
            }
        }
        for (Known known : learned.known()) {
            Server server = module.servers.get(known.server());
            if (server != null && Math.max(0, server.startedMs) == known.startedMs()
                    && server.outcomes.weight + server.errors.weight + server.latency.weight == 0) {
                write(server, known, ageMs);
            }
        }
    }

    private void write(Fleet fleet, double ageMs) {
        write(module.fleetLatency, fleet.latency(), ageMs, Double.POSITIVE_INFINITY);
        write(module.fleetUnit, fleet.unit(), ageMs, Double.POSITIVE_INFINITY);
        write(module.fleetErrors, fleet.errors(), ageMs, Double.POSITIVE_INFINITY);
        write(module.flights, fleet.flights(), ageMs, Double.POSITIVE_INFINITY);
        write(module.crowd, fleet.crowd(), ageMs, Double.POSITIVE_INFINITY);
        write(module.served, fleet.served(), ageMs, Double.POSITIVE_INFINITY);
        write(module.fleetUse, fleet.use(), ageMs, Double.POSITIVE_INFINITY);
        write(module.fleetRate, fleet.rate(), ageMs, Double.POSITIVE_INFINITY);
        write(module.covariance, fleet.covariance(), ageMs, Double.POSITIVE_INFINITY);
        write(module.variance, fleet.variance(), ageMs, Double.POSITIVE_INFINITY);
        // Rates are reckoned from weights and the time watched: that time must shrink as the weights did.
        double share = BELIEF * halved(ageMs, Decide.HALF_LIFE_MS) * (1 - halved(fleet.seenMs(), Decide.HALF_LIFE_MS));
        double watchedMs = -Math.log1p(-share) / Decide.LN2 * Decide.HALF_LIFE_MS;
        module.firstEventMs = module.nowMs - watchedMs;
        double half = module.arrivals.halfLifeMs;
        double asLong = (1 - halved(Math.max(1_000, watchedMs), half))
                / (1 - halved(Math.max(1_000, fleet.seenMs()), half));
        write(module.arrivals, new Figure(0, fleet.arrivals().weight() * asLong / BELIEF / halved(ageMs, half)), ageMs,
                Double.POSITIVE_INFINITY);
        module.crowding += (fleet.crowding() - module.crowding) * BELIEF * halved(ageMs, module.variance.halfLifeMs);
        if (module.fleetLatency.weight > 0) {
            module.unloadedMs = grown(fleet.unloadedMs(), ageMs);
            module.unloadedAtMs = module.nowMs;
            recalledMs = module.fleetLatency.mean(module.nowMs);
            recalledAtMs = module.nowMs;
            module.unproved = this;
        }
    }

    private void write(Decide.ClassStats stats, Kind kind, double ageMs) {
        write(stats.latency, kind.latency(), ageMs, Double.POSITIVE_INFINITY);
        write(stats.overall, kind.overall(), ageMs, Double.POSITIVE_INFINITY);
        stats.lastFactor = 1 + (kind.factor() - 1) * BELIEF * halved(ageMs, stats.latency.halfLifeMs);
    }

    private void write(Server server, Known known, double ageMs) {
        double judged = known.outcomes().weight() + known.errors().weight();
        double most = judged > 0 ? MOST_OUTCOMES / judged : 0;
        write(server.outcomes, known.outcomes(), ageMs, most * known.outcomes().weight());
        write(server.errors, known.errors(), ageMs, most * known.errors().weight());
        write(server.lately, known.lately(), ageMs, MOST_LATELY);
        write(server.latency, known.latency(), ageMs, MOST_LATENCIES);
        write(server.warmLatency, known.warmLatency(), ageMs, Double.POSITIVE_INFINITY);
        write(server.flights, known.flights(), ageMs, Double.POSITIVE_INFINITY);
        server.unloadedMs = grown(known.unloadedMs(), ageMs);
        server.unloadedAtMs = module.nowMs;
        double onceMs = module.fleetUnit.weight > 0 ? module.fleetUnit.mean(module.nowMs) : 0;
        server.restUntilMs = module.nowMs + Math.min(Math.max(0, known.restMs() - ageMs), onceMs);
    }

    private void write(Decaying to, Figure figure, double ageMs, double most) {
        double weight = Math.min(most, figure.weight() * BELIEF * halved(ageMs, to.halfLifeMs));
        to.clear();
        to.atMs = module.nowMs;
        if (weight >= LEAST_WEIGHT) {
            to.sum = figure.sum() * (weight / figure.weight());
            to.weight = weight;
        }
    }

    /** Told of the first answers: a fleet slower than the recalled one is measured anew. */
    void answered(double normalMs) {
        freshSum += normalMs;
        if (++fresh < PROVING_ANSWERS) {
            return;
        }
        module.unproved = null;
        if (freshSum / fresh > TOO_SLOW * recalledMs) {
            for (Decaying figure : List.of(module.fleetLatency, module.fleetUnit, module.covariance, module.variance)) {
                figure.clear();
            }
            module.fleetLatency.sum = freshSum;
            module.fleetLatency.weight = fresh;
            module.unloadedMs = Double.POSITIVE_INFINITY;
            module.firstEventMs = recalledAtMs;
            module.servers.values().forEach(server -> server.unloadedMs = Double.POSITIVE_INFINITY);
        }
    }

    // ---- Half-lives ----

    private static double halved(double ms, double halfLifeMs) {
        return Math.exp(-Decide.LN2 * Math.max(0, ms) / halfLifeMs);
    }

    private static double growth(double ms) {
        return 1 + Decide.UNLOADED_GROWTH_PER_S * Math.max(0, ms) / 1000;
    }

    private static double grown(double unloadedMs, double ageMs) {
        return growth(ageMs) <= MOST_GROWTH ? unloadedMs * growth(ageMs) : Double.POSITIVE_INFINITY;
    }
}
