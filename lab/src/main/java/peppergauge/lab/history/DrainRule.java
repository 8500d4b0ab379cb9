package peppergauge.lab.history;

import java.util.HashMap;
import java.util.Map;

/**
 * Rule {@code drain}: a sidecar sends no new attempt to a server later than the grace time after it was told that the
 * server is draining. It counts as told once the relay has written the update to the sidecar's socket; a paused sidecar
 * is excused, since it cannot read the update until it continues.
 */
final class DrainRule implements HistoryRules.Rule {

    private static final String RULE = "drain";
    private static final String ACTIVE = "active";

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        Map<String, Long> toldNs = new HashMap<>();
        for (Event event : history.events()) {
            String sidecarAndServer = event.who() + ' ' + event.whom();
            switch (event.what()) {
                case TOLD -> {
                    if (event.text().equals(ACTIVE)) {
                        toldNs.remove(sidecarAndServer);
                    } else {
                        toldNs.putIfAbsent(sidecarAndServer, event.atNs());
                    }
                }
                // A restarted process has no knowledge of what its predecessor was told.
                case DOWN, UP -> toldNs.keySet().removeIf(told -> told.startsWith(event.who() + ' '));
                case SENT -> {
                    verdict.countChecked(RULE);
                    if (toldNs.containsKey(sidecarAndServer)) {
                        checkSent(history, limits, verdict, event, toldNs.get(sidecarAndServer));
                    }
                }
                default -> {}
            }
        }
    }

    private static void checkSent(History history, RuleLimits limits, Verdict verdict, Event sent, long toldNs) {
        double lateMs = sent.msSince(toldNs) - limits.drainGraceMs() - limits.socketSlackMs();
        if (lateMs <= 0) {
            return;
        }
        if (lateMs <= history.delayMs(sent.who(), toldNs, sent.atNs())) {
            verdict.countExcused(RULE, Verdict.SCHEDULING_DELAY);
        } else if (history.wasPaused(sent.who(), toldNs, sent.atNs())) {
            verdict.countExcused(RULE, "sidecar was paused");
        } else {
            verdict.addBroken(
                    RULE,
                    sent.atNs(),
                    sent.who() + " sent request " + sent.id() + " to " + sent.whom() + " "
                            + Math.round(sent.msSince(toldNs)) + " ms after it was told that the server is draining");
        }
    }
}
