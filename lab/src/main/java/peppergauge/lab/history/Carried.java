package peppergauge.lab.history;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** How long the rig itself had a session's request and answer, whose sidecar is not to blame for that. */
final class Carried {

    /** Of {@code load.Outcome}. */
    private static final String GAVE_UP = "gave up";

    private final Map<String, Event> handed;
    private final Map<String, Event> replied;
    private final Map<String, Event> hungUp;

    Carried(History history) {
        handed = first(history, What.HANDED);
        replied = first(history, What.REPLIED);
        hungUp = first(history, What.HUNG_UP);
    }

    private static Map<String, Event> first(History history, What what) {
        return history.of(what).collect(Collectors.toMap(Event::id, Function.identity(), (one, other) -> one));
    }

    /**
     * Of a session without an answer in time; empty if the rig's carrying is no excuse. The sidecar's time counts from
     * when the request was in its socket to when its answer was read, or to the end that its client made.
     */
    String excuse(Event asked, Event end, double limitMs) {
        Event from = handed.get(asked.id());
        if (from == null
                || end == null
                || !end.text().equals(GAVE_UP) && !end.text().matches("[1-5]\\d\\d")) {
            return "";
        }
        Event reply = replied.get(asked.id());
        if (reply != null && reply.atNs() <= end.atNs()) {
            return reply.msSince(from.atNs()) <= limitMs ? "answered in time, and the rig was late with it" : "";
        }
        return end.msSince(from.atNs()) <= limitMs ? "the rig was late with its request" : "";
    }

    /** For how long its connection had been idle when its sidecar closed it before it had the request; 0 else. */
    long idleMs(String id) {
        return hungUp.containsKey(id) && !handed.containsKey(id)
                ? hungUp.get(id).number()
                : 0;
    }
}
