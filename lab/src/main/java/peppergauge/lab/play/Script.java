package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.DoubleStream;
import peppergauge.lab.scenario.Entry;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Target;

/** What of a scenario's entries holds at a time: for what changes while it lasts and not otherwise. */
final class Script {

    private final Scenario scenario;

    Script(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Entries of this sort that hold now, and whose target fits. */
    List<Entry> now(Incident what, double ms, Predicate<Target> whom) {
        List<Entry> found = new ArrayList<>();
        for (Entry entry : scenario.entries()) {
            double fromMs = Scenario.ms(entry.time());
            if (entry.what() == what
                    && ms >= fromMs
                    && ms < fromMs + entry.lengthMs()
                    && whom.test(scenario.target(entry))) {
                found.add(entry);
            }
        }
        return found;
    }

    /** By how much the entries of bursts that hold now raise the rate for this target. */
    double burst(double ms, Predicate<Target> whom) {
        return now(Incident.BURST, ms, whom).stream()
                .mapToDouble(entry -> entry.size().orElse(1.0))
                .reduce(1, (a, b) -> a * b);
    }

    /** When a burst begins or ends, in order. */
    DoubleStream edges() {
        return scenario.entries().stream()
                .filter(entry -> entry.what() == Incident.BURST)
                .flatMapToDouble(entry ->
                        DoubleStream.of(Scenario.ms(entry.time()), Scenario.ms(entry.time()) + entry.lengthMs()))
                .filter(Double::isFinite)
                .sorted();
    }
}
