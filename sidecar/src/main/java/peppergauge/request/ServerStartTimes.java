package peppergauge.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.Endpoint;

/**
 * Converts the start times that discovery reports by the wall clock to the time of {@link Clock}, so that a server's
 * age is right after a step of the wall clock. A start that is reported again keeps its time. Event-loop thread only.
 */
final class ServerStartTimes {

    /** A start as it was reported and as it was converted, ms. */
    private record Start(double reportedMs, double convertedMs) {}

    private final DoubleSupplier wallStepMs;
    private final Map<String, Start> starts = new HashMap<>();

    /** @param wallStepMs as {@link Clock#wallStepMs} */
    ServerStartTimes(DoubleSupplier wallStepMs) {
        this.wallStepMs = wallStepMs;
    }

    /** Returns the endpoint with its start converted. */
    Endpoint convert(Endpoint reported) {
        if (reported.startedMs() <= 0) {
            return reported;
        }
        Start start = starts.get(reported.server());
        if (start == null || start.reportedMs() != reported.startedMs()) {
            start = new Start(reported.startedMs(), reported.startedMs() - wallStepMs.getAsDouble());
            starts.put(reported.server(), start);
        }
        return new Endpoint(
                reported.server(),
                reported.zone(),
                reported.cell(),
                reported.state(),
                start.convertedMs(),
                reported.kind());
    }

    /** Forgets a server that the list has no more. */
    void remove(String server) {
        starts.remove(server);
    }
}
