package peppergauge.request;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of the requests that completed last, by which duplicates are detected. Event-loop thread only. */
final class RecentRequestIds {

    private static final int MAX_RECENT_IDS = 2_048;

    /** In order of completion. */
    private final Set<String> ids = new LinkedHashSet<>();

    boolean contains(String id) {
        return ids.contains(id);
    }

    /** Adds an id; the oldest one is dropped if there are too many. */
    void add(String id) {
        ids.add(id);
        if (ids.size() > MAX_RECENT_IDS) {
            Iterator<String> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
        assert ids.size() <= MAX_RECENT_IDS : "recent ids are kept without bound: " + ids.size();
    }
}
