package peppergauge.overload;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Orders the tasks of a round: those of open requests first, in order of arrival, then new requests. New requests are
 * taken oldest first, but newest first during a standing queue (adaptive LIFO: Maurer, "Fail at Scale", ACM Queue
 * 13(8), 2015), since the oldest are likely to miss their deadlines. All methods are O(1). One thread only.
 *
 * <p>The sidecar adds new requests only; its event loop runs the tasks of open requests itself.
 *
 * @param <T> the type of the tasks
 */
public final class ArrivalQueue<T> {

    private final ArrayDeque<T> inProgress = new ArrayDeque<>();
    /** Ids in order of arrival; ids of removed requests stay until they are polled. */
    private final ArrayDeque<String> arrivalOrder = new ArrayDeque<>();

    private final Map<String, T> newById = new HashMap<>();

    /** Adds a task of an open request, such as the end of an attempt; never null. The sidecar adds no such tasks. */
    public void addInProgress(T task) {
        inProgress.addLast(task);
    }

    /**
     * Adds a new request.
     *
     * @return false if a request with this id is in the queue already, and nothing was added
     */
    public boolean addNew(String id, T task) {
        if (newById.putIfAbsent(id, task) != null) {
            return false;
        }
        arrivalOrder.addLast(id);
        return true;
    }

    /** Removes and returns the new request with this id, null if there is none. */
    public T remove(String id) {
        return newById.remove(id);
    }

    /**
     * Removes and returns the next task, null if there is none.
     *
     * @param newestFirst the order of new requests; may change from call to call
     */
    public T poll(boolean newestFirst) {
        T task = inProgress.pollFirst();
        while (task == null && !arrivalOrder.isEmpty()) {
            task = newById.remove(newestFirst ? arrivalOrder.pollLast() : arrivalOrder.pollFirst());
        }
        assert arrivalOrder.size() >= newById.size()
                : "new requests wait without an entry in the order of arrival: " + newById.size();
        assert task != null || newById.isEmpty() : "no task was polled although requests wait: " + newById.size();
        return task;
    }

    /** The number of tasks in the queue. */
    public int size() {
        return inProgress.size() + newById.size();
    }
}
