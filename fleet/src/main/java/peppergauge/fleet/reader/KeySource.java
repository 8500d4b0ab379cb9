package peppergauge.fleet.reader;

import java.util.List;
import java.util.Map;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.seen.AnswerLevels;
import peppergauge.request.IncomingRequest;

/** Counts sessions' keys and what became of them. Lives on the sidecar's loop, and has to be quick. */
public interface KeySource {

    /** Samples none. */
    KeySource NONE = new KeySource() {};

    /** What is reported; null each for nothing. */
    record Told(
            KeyReport keys, List<DaemonReport.Server> servers, Map<String, Seen> serviceTimes, AnswerLevels levels) {}

    /** A session has come in. */
    default void opened(IncomingRequest opening, String station, double nowMs) {}

    /** An attempt goes out. */
    default void sent(String id, String server, double nowMs) {}

    default void ended(AttemptEnded attempt) {}

    /** A session has ended. */
    default void over(String id) {}

    default void listed(boolean whole, List<Endpoint> entries) {}

    /** A copy, as counted since the start. */
    default Told told() {
        return new Told(null, null, null, null);
    }
}
