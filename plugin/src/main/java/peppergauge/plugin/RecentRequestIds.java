package peppergauge.plugin;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids of recent requests, to detect a duplicate while a plug-in still decides on the original. Otherwise the duplicate
 * could be rejected as not executed although the original is executed, or be executed in place of the original that the
 * plug-in checked. Event-loop thread only.
 */
final class RecentRequestIds {

    /** The same number as the request dispatcher remembers. */
    private static final int MAX_IDS = 2_048;

    private final Set<String> ids = new LinkedHashSet<>();

    /** Adds an id and removes the oldest one if there are too many; returns false if the id was present. */
    boolean add(String id) {
        if (!ids.add(id)) {
            return false;
        }
        if (ids.size() > MAX_IDS) {
            Iterator<String> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }
}
