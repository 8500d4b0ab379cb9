package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.DoubleStream;
import peppergauge.lab.scenario.Incident;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.Target;

/** Looks up the scenario's incidents that are in effect at a time. */
final class IncidentSchedule {

    private final Scenario scenario;

    IncidentSchedule(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Returns the incidents of a kind that are in effect at a time and whose target matches. */
    List<ScheduledIncident> active(Incident what, double ms, Predicate<Target> targetFilter) {
        List<ScheduledIncident> found = new ArrayList<>();
        for (ScheduledIncident entry : scenario.entries()) {
            double fromMs = Scenario.toMillis(entry.time());
            if (entry.what() == what
                    && ms >= fromMs
                    && ms < fromMs + entry.lengthMs()
                    && targetFilter.test(scenario.target(entry))) {
                found.add(entry);
            }
        }
        return found;
    }

    /** Returns the factor by which bursts in effect raise the request rate of a target. */
    double burstFactor(double ms, Predicate<Target> targetFilter) {
        return active(Incident.BURST, ms, targetFilter).stream()
                .mapToDouble(entry -> entry.size().orElse(1.0))
                .reduce(1, (a, b) -> a * b);
    }

    /** Returns the times at which bursts begin and end, in ms and in order. */
    DoubleStream burstEdgesMs() {
        return scenario.entries().stream()
                .filter(entry -> entry.what() == Incident.BURST)
                .flatMapToDouble(entry -> DoubleStream.of(
                        Scenario.toMillis(entry.time()), Scenario.toMillis(entry.time()) + entry.lengthMs()))
                .filter(Double::isFinite)
                .sorted();
    }
}
