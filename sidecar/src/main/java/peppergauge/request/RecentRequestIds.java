package peppergauge.request;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of recently completed requests, used to detect duplicates. Ids of requests that must not run again have
 * places of their own, which requests that never ran, however many, cannot take. Event-loop thread only.
 */
final class RecentRequestIds {

    /** Some seconds at the rate of a sidecar on a whole core, more than the longest deadline. */
    static final int MAX_IDS_NOT_TO_RUN_AGAIN = 8_192;

    static final int MAX_OTHER_IDS = 2_048;

    /** Both in order of completion. */
    private final Set<String> notToRunAgain = new LinkedHashSet<>();

    private final Set<String> others = new LinkedHashSet<>();

    boolean contains(String id) {
        return notToRunAgain.contains(id) || others.contains(id);
    }

    /**
     * Adds an id; drops the oldest one of its kind if the limit is exceeded.
     *
     * @param mayRunAgain whether running the request again would do no harm
     */
    void add(String id, boolean mayRunAgain) {
        if (mayRunAgain) {
            add(others, id, MAX_OTHER_IDS);
        } else {
            add(notToRunAgain, id, MAX_IDS_NOT_TO_RUN_AGAIN);
        }
    }

    private static void add(Set<String> ids, String id, int limit) {
        ids.add(id);
        if (ids.size() > limit) {
            Iterator<String> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
        assert ids.size() <= limit : "recent ids grow without bound: " + ids.size();
    }
}
