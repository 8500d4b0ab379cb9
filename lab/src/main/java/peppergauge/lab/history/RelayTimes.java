package peppergauge.lab.history;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** When the rig relayed requests and responses. A sidecar is not responsible for time spent in the rig. */
final class RelayTimes {

    /** Outcome, as in {@code load.RequestOutcome}, of a request whose client stopped waiting. */
    private static final String GAVE_UP = "gave up";

    private final Map<String, Event> handed;
    private final Map<String, Event> replied;
    private final Map<String, Event> hungUp;

    RelayTimes(History history) {
        handed = firstById(history, EventKind.HANDED);
        replied = firstById(history, EventKind.REPLIED);
        hungUp = firstById(history, EventKind.HUNG_UP);
    }

    private static Map<String, Event> firstById(History history, EventKind what) {
        return history.of(what).collect(Collectors.toMap(Event::id, Function.identity(), (first, later) -> first));
    }

    /**
     * Returns why the rig is the cause of a late or missing response; empty if it is not. The sidecar's time counts
     * from when its socket had the whole request until its response was read, or until its client ended the request.
     */
    String excuse(Event asked, Event end, double limitMs) {
        Event from = handed.get(asked.id());
        if (from == null || end == null || !end.text().equals(GAVE_UP) && !end.hasStatus()) {
            return "";
        }
        Event reply = replied.get(asked.id());
        if (reply != null && reply.atNs() <= end.atNs()) {
            return reply.msSince(from.atNs()) <= limitMs ? "response was in time; the rig relayed it late" : "";
        }
        return end.msSince(from.atNs()) <= limitMs ? "the rig relayed the request late" : "";
    }

    /**
     * Returns how long the request's connection had been idle, in ms, when its sidecar closed it before it had the
     * request; 0 if that did not happen.
     */
    long idleMs(String id) {
        return hungUp.containsKey(id) && !handed.containsKey(id)
                ? hungUp.get(id).number()
                : 0;
    }
}
