package peppergauge.lab.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Rule {@code one-attempt}: while an attempt of a request is in flight, no other attempt of it is sent. An attempt is
 * no longer in flight once the sidecar closed it, or once it was answered or broken. The relay sees both ends; the rule
 * allows for the time by which the relay may have read them late.
 */
final class SingleAttemptRule implements HistoryRules.Rule {

    private static final String RULE = "one-attempt";

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        Map<String, Event> settled = new HashMap<>();
        history.of(EventKind.SETTLED).forEach(end -> settled.putIfAbsent(attemptKey(end), end));
        Map<String, List<Event>> sendsByRequest =
                history.of(EventKind.SENT).collect(Collectors.groupingBy(sent -> sent.who() + ' ' + sent.id()));
        sendsByRequest.values().forEach(sends -> {
            for (int i = 0; i + 1 < sends.size(); i++) {
                verdict.countChecked(RULE);
                Event sent = sends.get(i);
                check(history, limits, verdict, sent, settled.get(attemptKey(sent)), sends.get(i + 1));
            }
        });
    }

    /** A request may be sent to one server twice, but not twice at a time over one connection. */
    private static String attemptKey(Event event) {
        return event.who() + ' ' + event.whom() + ' ' + event.id() + ' ' + event.number();
    }

    private static void check(
            History history, RuleLimits limits, Verdict verdict, Event previous, Event end, Event next) {
        double overlapMs = end == null ? Double.POSITIVE_INFINITY : end.msSince(next.atNs());
        if (overlapMs <= limits.socketSlackMs()) {
            return;
        }
        long untilNs = end == null ? Long.MAX_VALUE : end.atNs();
        if (overlapMs <= limits.socketSlackMs() + history.delayMs(next.who(), next.atNs(), untilNs)) {
            verdict.countExcused(RULE, Verdict.SCHEDULING_DELAY);
        } else if (history.wasDown(previous.who(), previous.atNs(), next.atNs())) {
            verdict.countExcused(RULE, "sidecar was terminated in between");
        } else {
            verdict.addBroken(
                    RULE,
                    next.atNs(),
                    "request " + next.id() + " of " + next.who() + " was sent to " + next.whom()
                            + " while an attempt was in flight to " + previous.whom());
        }
    }
}
