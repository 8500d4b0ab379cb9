package peppergauge.overload;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * In which order the tasks of a round are served: all that belongs to open sessions first, in order of arrival, then
 * new sessions.
 *
 * <p>What has cost most is finished first: an answer that waits behind new sessions may come too late, and then its
 * whole service was in vain. New sessions come oldest first; while a queue stands, newest first (adaptive LIFO, Maurer,
 * "Fail at Scale", ACM Queue 13(8), 2015): the oldest are nearly too late, and served in order of arrival all would
 * be. All calls are O(1). One thread only.
 *
 * @param <T> a task
 */
public final class ArrivalQueue<T> {

    private final ArrayDeque<T> inProgress = new ArrayDeque<>();
    /** Ids in order of arrival; one that was withdrawn stays until it is met. */
    private final ArrayDeque<String> arrivalOrder = new ArrayDeque<>();

    private final Map<String, T> newById = new HashMap<>();

    /** Takes an end of an attempt, a timer that is due, news: anything but a new session; never null. */
    public void addInProgress(T task) {
        inProgress.addLast(task);
    }

    /**
     * Takes a new session. False if a session with this id waits already, and nothing was done: newest first, another
     * client's copy of an id would overtake its owner.
     */
    public boolean addNew(String id, T task) {
        if (newById.putIfAbsent(id, task) != null) {
            return false;
        }
        arrivalOrder.addLast(id);
        return true;
    }

    /** Takes back a session that waits, since its client left; null if none with this id does. */
    public T remove(String id) {
        return newById.remove(id);
    }

    /**
     * Removes and returns the next task, null if there is none.
     *
     * @param newestFirst whether a queue stands; may change from call to call
     */
    public T poll(boolean newestFirst) {
        T task = inProgress.pollFirst();
        while (task == null && !arrivalOrder.isEmpty()) {
            task = newById.remove(newestFirst ? arrivalOrder.pollLast() : arrivalOrder.pollFirst());
        }
        assert arrivalOrder.size() >= newById.size() : "sessions that wait and are never met: " + newById.size();
        assert task != null || newById.isEmpty() : "nothing is next, and " + newById.size() + " wait";
        return task;
    }

    /** How many tasks wait. */
    public int size() {
        return inProgress.size() + newById.size();
    }
}
