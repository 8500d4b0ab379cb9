package peppergauge.request;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of recently completed requests, used to detect duplicates. Event-loop thread only. */
final class RecentRequestIds {

    private static final int MAX_RECENT_IDS = 2_048;

    /** In order of completion. */
    private final Set<String> ids = new LinkedHashSet<>();

    boolean contains(String id) {
        return ids.contains(id);
    }

    /** Adds an id; drops the oldest one if the limit is exceeded. */
    void add(String id) {
        ids.add(id);
        if (ids.size() > MAX_RECENT_IDS) {
            Iterator<String> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
        assert ids.size() <= MAX_RECENT_IDS : "recent ids grow without bound: " + ids.size();
    }
}
