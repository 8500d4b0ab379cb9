package peppergauge.lab.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * {@code one-attempt}: while an attempt of a session is out, no other one is sent. An attempt that the sidecar closed,
 * or that was answered or broken, is not out. The relay sees both ends; what it may have read late is allowed for.
 */
final class OneAttempt implements Rules.Rule {

    private static final String RULE = "one-attempt";

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        Map<String, Event> settled = new HashMap<>();
        history.of(What.SETTLED).forEach(end -> settled.putIfAbsent(key(end), end));
        Map<String, List<Event>> bySession =
                history.of(What.SENT).collect(Collectors.groupingBy(sent -> sent.who() + ' ' + sent.id()));
        bySession.values().forEach(sends -> {
            for (int i = 0; i + 1 < sends.size(); i++) {
                verdict.checked(RULE);
                check(history, bounds, verdict, sends.get(i), settled.get(key(sends.get(i))), sends.get(i + 1));
            }
        });
    }

    /** A session may be sent to one server twice, but not twice over one connection at a time. */
    private static String key(Event event) {
        return event.who() + ' ' + event.whom() + ' ' + event.id() + ' ' + event.number();
    }

    private static void check(History history, Bounds bounds, Verdict verdict, Event before, Event end, Event next) {
        double overlapMs = end == null ? Double.POSITIVE_INFINITY : end.msSince(next.atNs());
        if (overlapMs <= bounds.slackMs()) {
            return;
        }
        long untilNs = end == null ? Long.MAX_VALUE : end.atNs();
        if (overlapMs <= bounds.slackMs() + history.lateMs(next.who(), next.atNs(), untilNs)) {
            verdict.excused(RULE, "the machine let all wait");
        } else if (history.wasDown(before.who(), before.atNs(), next.atNs())) {
            verdict.excused(RULE, "its sidecar was ended meanwhile");
        } else {
            verdict.broken(
                    RULE,
                    next.atNs(),
                    "session " + next.id() + " of " + next.who() + " went to " + next.whom() + " while one was out at "
                            + before.whom());
        }
    }
}
