package peppergauge.lab.history;

import java.util.HashMap;
import java.util.Map;

/**
 * {@code drain}: nothing new goes to a server later than its bound after its sidecar was told that this leaves. Told is
 * what the relay has written to the sidecar's socket; one that stood still could not read it before it went on.
 */
final class Leaving implements Rules.Rule {

    private static final String RULE = "drain";

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        Map<String, Long> toldNs = new HashMap<>();
        for (Event event : history.events()) {
            String pair = event.who() + ' ' + event.whom();
            switch (event.what()) {
                case TOLD -> {
                    if (event.text().equals("active")) {
                        toldNs.remove(pair);
                    } else {
                        toldNs.putIfAbsent(pair, event.atNs());
                    }
                }
                // A new process knows nothing of what the one before was told.
                case DOWN, UP -> toldNs.keySet().removeIf(told -> told.startsWith(event.who() + ' '));
                case SENT -> {
                    verdict.checked(RULE);
                    if (toldNs.containsKey(pair)) {
                        sent(history, bounds, verdict, event, toldNs.get(pair));
                    }
                }
                default -> {}
            }
        }
    }

    private static void sent(History history, Bounds bounds, Verdict verdict, Event sent, long toldNs) {
        double lateMs = sent.msSince(toldNs) - bounds.drainMs() - bounds.slackMs();
        if (lateMs <= 0) {
            return;
        }
        if (lateMs <= history.lateMs(sent.who(), toldNs, sent.atNs())) {
            verdict.excused(RULE, "the machine let all wait");
        } else if (history.stood(sent.who(), toldNs, sent.atNs())) {
            verdict.excused(RULE, "its sidecar stood still");
        } else {
            verdict.broken(
                    RULE,
                    sent.atNs(),
                    sent.who() + " sent session " + sent.id() + " to " + sent.whom() + ", "
                            + Math.round(sent.msSince(toldNs)) + " ms after it was told that this leaves");
        }
    }
}
