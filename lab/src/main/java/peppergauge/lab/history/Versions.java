package peppergauge.lab.history;

import java.util.HashMap;
import java.util.Map;

/** {@code version}: a reader takes no fleet table that is older than one that the same process took before. */
final class Versions implements Rules.Rule {

    private static final String RULE = "version";

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        Map<String, Long> taken = new HashMap<>();
        for (Event event : history.events()) {
            if (event.what() == What.DOWN || event.what() == What.UP) {
                taken.remove(event.who());
            } else if (event.what() == What.TABLE) {
                verdict.checked(RULE);
                Long before = taken.put(event.who(), event.number());
                if (before != null && before > event.number()) {
                    verdict.broken(
                            RULE, event.atNs(), event.who() + " took version " + event.number() + " after " + before);
                }
            }
        }
    }
}
