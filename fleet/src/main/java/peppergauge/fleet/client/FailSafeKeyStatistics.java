package peppergauge.fleet.client;

import java.util.List;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.log.Log;
import peppergauge.request.IncomingRequest;

/**
 * Handles violated invariants of key statistics where assertions are enabled: the first one is logged and disables the
 * statistics. The event loop continues to serve requests.
 */
final class FailSafeKeyStatistics implements KeyStatistics {

    private KeyStatistics keys;

    FailSafeKeyStatistics(KeyStatistics keys) {
        this.keys = keys;
    }

    private void runGuarded(Consumer<KeyStatistics> step) {
        try {
            step.accept(keys);
        } catch (AssertionError broken) {
            disable(broken);
        }
    }

    private void disable(AssertionError broken) {
        Log.bug("invariant", broken);
        keys = NONE;
    }

    @Override
    public void onRequest(IncomingRequest request, String tenant, double nowMs) {
        runGuarded(each -> each.onRequest(request, tenant, nowMs));
    }

    @Override
    public void onAttemptSent(String id, String server, double nowMs) {
        runGuarded(each -> each.onAttemptSent(id, server, nowMs));
    }

    @Override
    public void onAttemptEnded(AttemptEnded attempt) {
        runGuarded(each -> each.onAttemptEnded(attempt));
    }

    @Override
    public void onRequestEnded(String id) {
        runGuarded(each -> each.onRequestEnded(id));
    }

    @Override
    public void onEndpointUpdate(boolean complete, List<Endpoint> endpoints) {
        runGuarded(each -> each.onEndpointUpdate(complete, endpoints));
    }

    @Override
    public Snapshot snapshot() {
        try {
            return keys.snapshot();
        } catch (AssertionError broken) {
            disable(broken);
            return NONE.snapshot();
        }
    }
}
