package peppergauge.lab.history;

import java.util.HashMap;
import java.util.Map;

/** Rule {@code version}: a process takes no fleet table that is older than one that it took before. */
final class TableVersionRule implements HistoryRules.Rule {

    private static final String RULE = "version";

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        Map<String, Long> taken = new HashMap<>();
        for (Event event : history.events()) {
            if (event.what() == EventKind.DOWN || event.what() == EventKind.UP) {
                taken.remove(event.who());
            } else if (event.what() == EventKind.TABLE) {
                verdict.countChecked(RULE);
                Long previous = taken.put(event.who(), event.number());
                if (previous != null && previous > event.number()) {
                    verdict.addBroken(
                            RULE,
                            event.atNs(),
                            event.who() + " took table version " + event.number() + " after version " + previous);
                }
            }
        }
    }
}
