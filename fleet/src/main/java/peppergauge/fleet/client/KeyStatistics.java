package peppergauge.fleet.client;

import java.util.List;
import java.util.Map;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.observation.ResponseTimes;
import peppergauge.request.IncomingRequest;

/** Statistics of request keys, for forecasts. All methods run on the event loop and must be quick. */
public interface KeyStatistics {

    /** Counts nothing. */
    KeyStatistics NONE = new KeyStatistics() {};

    /** The statistics for a report; each component may be null. */
    record Snapshot(
            KeyReport keys,
            List<DaemonReport.Server> servers,
            Map<String, ServiceTimes.Snapshot> serviceTimes,
            ResponseTimes responseTimes) {}

    /** Called when a request arrived. */
    default void onRequest(IncomingRequest request, String tenant, double nowMs) {}

    /** Called when an attempt is sent. */
    default void onAttemptSent(String id, String server, double nowMs) {}

    /** Called when an attempt ended. */
    default void onAttemptEnded(AttemptEnded attempt) {}

    /** Called when a request ended. */
    default void onRequestEnded(String id) {}

    /** Called when an endpoint update arrived. */
    default void onEndpointUpdate(boolean complete, List<Endpoint> endpoints) {}

    /** Returns a copy of all counts since the start. */
    default Snapshot snapshot() {
        return new Snapshot(null, null, null, null);
    }
}
