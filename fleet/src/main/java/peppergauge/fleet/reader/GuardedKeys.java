package peppergauge.fleet.reader;

import java.util.List;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.log.Log;
import peppergauge.request.IncomingRequest;

/**
 * Stands round a count of keys where invariants are checked: the first breach is logged and ends the count. It must not
 * end the loop, and with it sessions, which do not need it.
 */
final class GuardedKeys implements KeySource {

    private KeySource keys;

    GuardedKeys(KeySource keys) {
        this.keys = keys;
    }

    private void guarded(Consumer<KeySource> step) {
        try {
            step.accept(keys);
        } catch (AssertionError broken) {
            Log.bug("invariant", broken);
            keys = NONE;
        }
    }

    @Override
    public void opened(IncomingRequest opening, String station, double nowMs) {
        guarded(each -> each.opened(opening, station, nowMs));
    }

    @Override
    public void sent(String id, String server, double nowMs) {
        guarded(each -> each.sent(id, server, nowMs));
    }

    @Override
    public void ended(AttemptEnded attempt) {
        guarded(each -> each.ended(attempt));
    }

    @Override
    public void over(String id) {
        guarded(each -> each.over(id));
    }

    @Override
    public void listed(boolean whole, List<Endpoint> entries) {
        guarded(each -> each.listed(whole, entries));
    }

    @Override
    public Told told() {
        try {
            return keys.told();
        } catch (AssertionError broken) {
            Log.bug("invariant", broken);
            keys = NONE;
            return NONE.told();
        }
    }
}
