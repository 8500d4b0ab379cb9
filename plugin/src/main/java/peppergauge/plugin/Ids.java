package peppergauge.plugin;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids that came lately. Guards against a copy of a session while a plug-in thinks: denied or passed, it would be told
 * "nothing ran" beside one that does run, or run in the place of one that was looked at.
 */
final class Ids {

    /** As many as the sessions remember. */
    private static final int MOST = 2_048;

    private final Set<String> seen = new LinkedHashSet<>();

    /** Whether it was not there. */
    boolean add(String id) {
        if (!seen.add(id)) {
            return false;
        }
        if (seen.size() > MOST) {
            Iterator<String> oldest = seen.iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }
}
