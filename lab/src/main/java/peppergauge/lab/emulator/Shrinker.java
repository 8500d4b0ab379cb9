package peppergauge.lab.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import peppergauge.lab.fault.FailureMinimizer;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.ServerGroup;

/**
 * Reduces a scenario that violates a rule to a smaller one that violates the same rule with the same seed: it ends at
 * the violation, has no unnecessary script entries, shorter entries, and fewer servers.
 */
public final class Shrinker {

    /** Time kept after the violation; not needed, but a run that ends with it would suggest that its end matters. */
    private static final double TIME_AFTER_VIOLATION_MS = 500;

    private final String rule;
    private final Predicate<Scenario> fails;
    private final Consumer<String> log;

    private Shrinker(String rule, Consumer<String> log, Predicate<Scenario> fails) {
        this.rule = rule;
        this.log = log;
        this.fails = fails;
    }

    /**
     * Returns the smallest scenario found; empty if the scenario violates no rule.
     *
     * @param log receives a description of each reduction that was kept
     */
    public static Optional<Scenario> shrink(Scenario scenario, Consumer<String> log) {
        return shrink(scenario, PlantedFault.NONE, log);
    }

    static Optional<Scenario> shrink(Scenario scenario, PlantedFault faults, Consumer<String> log) {
        RunResult first = Emulator.run("shrink", scenario, faults);
        if (first.broken().isEmpty()) {
            return Optional.empty();
        }
        String rule = first.broken().get(0).rule();
        Shrinker shrinker = new Shrinker(rule, log, smaller -> {
            RunResult result = Emulator.run("shrink", smaller, faults);
            return !result.broken().isEmpty() && result.broken().get(0).rule().equals(rule);
        });
        Scenario smallest = shrinker.cutAt(scenario, first.broken().get(0).atS() * 1e3 + TIME_AFTER_VIOLATION_MS);
        for (Scenario before = null; !smallest.equals(before); ) {
            before = smallest;
            smallest = shrinker.shorterEntries(shrinker.fewerServers(shrinker.fewerEntries(smallest)));
        }
        return Optional.of(smallest);
    }

    private Optional<Scenario> tried(Scenario smaller, String what) {
        if (!fails.test(smaller)) {
            return Optional.empty();
        }
        log.accept(what + ": still breaks " + rule);
        return Optional.of(smaller);
    }

    private Scenario cutAt(Scenario whole, double endMs) {
        if (endMs >= Scenario.toMillis(whole.run().length())) {
            return whole;
        }
        Duration length = Duration.ofMillis((long) Math.ceil(endMs));
        List<ScheduledIncident> begun = whole.entries().stream()
                .filter(entry -> entry.time().compareTo(length) <= 0)
                .toList();
        return tried(
                        whole.with(new Run(length, whole.run().seed()), whole.servers(), begun),
                        "run of " + length.toMillis() + " ms")
                .orElse(whole);
    }

    private Scenario fewerEntries(Scenario from) {
        return from.with(
                from.run(),
                from.servers(),
                FailureMinimizer.of(
                        from.entries(),
                        (rest, gone) -> tried(
                                        from.with(from.run(), from.servers(), rest),
                                        "without " + gone.what().written() + " at "
                                                + gone.time().toMillis() + " ms")
                                .isPresent()));
    }

    private Scenario shorterEntries(Scenario from) {
        Scenario smallest = from;
        for (int i = 0; i < from.entries().size(); i++) {
            ScheduledIncident entry = smallest.entries().get(i);
            if (entry.length().map(length -> length.toMillis() >= 1_000).orElse(false)) {
                Duration half = entry.length().get().dividedBy(2);
                List<ScheduledIncident> rest = new ArrayList<>(smallest.entries());
                rest.set(
                        i,
                        new ScheduledIncident(
                                entry.time(),
                                entry.what(),
                                entry.target(),
                                Optional.of(half),
                                entry.size(),
                                entry.part(),
                                entry.fault()));
                smallest = tried(
                                smallest.with(smallest.run(), smallest.servers(), rest),
                                entry.what().written() + " for " + half.toMillis() + " ms")
                        .orElse(smallest);
            }
        }
        return smallest;
    }

    /** Reduces the servers of each kind; the entries' targets must still exist. */
    private Scenario fewerServers(Scenario from) {
        Scenario smallest = from;
        for (int i = 0; i < from.servers().size(); i++) {
            ServerGroup kind = smallest.servers().get(i);
            // Halves first, then removes one: each step increases the load per server, so few steps are preferable.
            for (long count : new long[] {kind.count() / 2, kind.count() - 1}) {
                List<ServerGroup> kinds = new ArrayList<>(smallest.servers());
                kinds.set(i, kind.counted(count));
                Scenario smaller = smallest.with(smallest.run(), kinds, smallest.entries());
                if (count >= 1 && smaller.targetsExist() && fails.test(smaller)) {
                    log.accept(count + " servers of " + kind.name() + ": still breaks " + rule);
                    smallest = smaller;
                    break;
                }
            }
        }
        return smallest;
    }
}
