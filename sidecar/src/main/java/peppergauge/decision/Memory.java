package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;

/**
 * Reads out what {@link AdaptiveLoadBalancer} learned, and writes it back into an instance that starts.
 *
 * <p>While it lay, a figure aged as it would have in the module: sums and weights halve every half-life. What may have
 * changed unseen takes a further half. Of a server so little is believed that it bends the draw and never closes the
 * door: no recalled record alone puts one under the cut from which on only the floor draws it, and a rest comes back
 * as that after a first failure. What sets how many flights a server may have (latencies when idle, crowding, service
 * times told, the rate of answers) is read out and never written back: it must grow with the answers of today.
 * Measured: with it a fleet that was replaced, or had become faster, lost up to 0.12 of its worth in the 10 s after a
 * restart.
 */
final class Memory {

    /** What is left of a weight for having been away at all. */
    private static final double BELIEF = 0.5;
    /** Under this weight, in outcomes, a figure is none: it is what the module's own first guess weighs. */
    private static final double LEAST_WEIGHT = 1e-3;
    /** Most outcomes that a server's recalled failures count: all failed, it stays over the failing cut. */
    private static final double MOST_OUTCOMES = 0.25;
    /** The same for its errors just now, which are mixed with fewer of the others' mean. */
    private static final double MOST_LATELY = 0.125;
    /** The same for its latency: one twice as slow keeps a third of a usual server's draw, over the floor. */
    private static final double MOST_LATENCIES = 0.5;
    /** Most answers that the fleet's recalled figures count: fresh ones outweigh them within a few times as many. */
    private static final double MOST_ANSWERS = 2;

    private final AdaptiveLoadBalancer module;

    Memory(AdaptiveLoadBalancer module) {
        this.module = module;
    }

    // ---- Out ----

    static LearnedState read(AdaptiveLoadBalancer module, double nowMs, int from, int most) {
        List<Server> all = module.ordered;
        List<ServerStatistics> known = new ArrayList<>();
        for (Server server : all.subList(Math.min(from, all.size()), Math.min(from + most, all.size()))) {
            if (server.outcomes.weight(nowMs) + server.errors.weight(nowMs) >= LEAST_WEIGHT) {
                known.add(known(server, nowMs));
            }
        }
        List<ClassStatistics> classes = new ArrayList<>();
        for (AdaptiveLoadBalancer.ClassStats stats : module.classStats) {
            classes.add(
                    new ClassStatistics(figure(stats.latency, nowMs), figure(stats.overall, nowMs), stats.lastFactor));
        }
        return new LearnedState(all.size(), fleet(module, nowMs), classes, known);
    }

    private static ClusterStatistics fleet(AdaptiveLoadBalancer module, double nowMs) {
        double seenMs = Double.isNaN(module.firstEventMs) ? 0 : nowMs - module.firstEventMs;
        return new ClusterStatistics(
                seenMs,
                figure(module.fleetLatency, nowMs),
                figure(module.fleetUnit, nowMs),
                figure(module.fleetErrors, nowMs),
                figure(module.flights, nowMs),
                figure(module.crowd, nowMs),
                figure(module.served, nowMs),
                WeightedSum.NONE,
                WeightedSum.NONE,
                figure(module.covariance, nowMs),
                figure(module.variance, nowMs),
                figure(module.arrivals, nowMs),
                module.crowding,
                module.unloadedMs * growth(nowMs - module.unloadedAtMs));
    }

    private static ServerStatistics known(Server server, double nowMs) {
        return new ServerStatistics(
                server.id,
                Math.max(0, server.startedMs),
                figure(server.latency, nowMs),
                figure(server.outcomes, nowMs),
                figure(server.errors, nowMs),
                figure(server.lately, nowMs),
                server.unloadedMs * growth(nowMs - server.unloadedAtMs),
                Math.max(0, server.restUntilMs - nowMs));
    }

    /** Read without decaying the original: a decay in two steps rounds otherwise than in one. */
    private static WeightedSum figure(Decaying from, double nowMs) {
        double keep = halved(nowMs - from.atMs, from.halfLifeMs);
        return from.weight > 0 ? new WeightedSum(from.sum * keep, from.weight * keep) : WeightedSum.NONE;
    }

    // ---- Back in ----

    void write(double nowMs, LearnedState learned, double ageMs) {
        if (!(ageMs >= 0 && ageMs < LearnedState.MAX_AGE_MS)) {
            return;
        }
        module.nowMs = nowMs;
        if (learned.cluster() != null && module.fleetUnit.weight == 0) {
            write(learned.cluster(), ageMs);
            for (int i = 0;
                    i < Math.min(module.classStats.length, learned.classes().size());
                    i++) {
                write(module.classStats[i], learned.classes().get(i), ageMs);
            }
        }
        for (ServerStatistics known : learned.servers()) {
            Server server = module.servers.get(known.server());
            if (server != null
                    && Math.max(0, server.startedMs) == known.startedMs()
                    && server.outcomes.weight + server.errors.weight + server.latency.weight == 0) {
                write(server, known, ageMs);
            }
        }
    }

    private void write(ClusterStatistics fleet, double ageMs) {
        write(module.fleetUnit, fleet.idleLatency(), ageMs, MOST_ANSWERS);
        write(module.fleetErrors, fleet.errors(), ageMs, MOST_ANSWERS);
        write(module.flights, fleet.inFlight(), ageMs, MOST_ANSWERS);
        write(module.crowd, fleet.othersInFlight(), ageMs, MOST_ANSWERS);
        // A rate is reckoned from a weight and the time watched, of which the module's least is a second.
        double half = module.arrivals.halfLifeMs;
        keep(
                module.arrivals,
                fleet.arrivals(),
                BELIEF
                        * halved(ageMs, half)
                        * (1 - halved(1_000, half))
                        / (1 - halved(Math.max(1_000, fleet.observedMs()), half)));
    }

    private void write(AdaptiveLoadBalancer.ClassStats stats, ClassStatistics kind, double ageMs) {
        write(stats.latency, kind.latency(), ageMs, MOST_ANSWERS);
        write(stats.overall, kind.overall(), ageMs, MOST_ANSWERS);
        stats.lastFactor = 1 + (kind.factor() - 1) * BELIEF * halved(ageMs, stats.latency.halfLifeMs);
    }

    private void write(Server server, ServerStatistics known, double ageMs) {
        double judged = known.failures().weight() + known.errors().weight();
        double most = judged > 0 ? MOST_OUTCOMES / judged : 0;
        write(server.outcomes, known.failures(), ageMs, most * known.failures().weight());
        write(server.errors, known.errors(), ageMs, most * known.errors().weight());
        write(server.lately, known.recentErrors(), ageMs, MOST_LATELY);
        write(server.latency, known.latency(), ageMs, MOST_LATENCIES);
        double onceMs = module.fleetUnit.weight > 0 ? module.fleetUnit.mean(module.nowMs) : 0;
        server.restUntilMs = module.nowMs + Math.min(Math.max(0, known.ejectionLeftMs() - ageMs), onceMs);
    }

    private void write(Decaying to, WeightedSum figure, double ageMs, double most) {
        double kept = BELIEF * halved(ageMs, to.halfLifeMs);
        keep(to, figure, figure.weight() > 0 ? Math.min(kept, most / figure.weight()) : 0);
    }

    private void keep(Decaying to, WeightedSum figure, double share) {
        boolean some = figure.weight() * share >= LEAST_WEIGHT;
        to.sum = some ? figure.sum() * share : 0;
        to.weight = some ? figure.weight() * share : 0;
        to.atMs = module.nowMs;
    }

    // ---- Half-lives ----

    private static double halved(double ms, double halfLifeMs) {
        return Math.exp(-AdaptiveLoadBalancer.LN2 * Math.max(0, ms) / halfLifeMs);
    }

    private static double growth(double ms) {
        return 1 + AdaptiveLoadBalancer.UNLOADED_GROWTH_PER_S * Math.max(0, ms) / 1000;
    }
}
