package peppergauge.decision;

import java.util.LinkedHashMap;

/** Requests that wait for a server. The newest goes first: under lasting overload the oldest would be too late. */
final class PendingQueue {

    private final LinkedHashMap<String, Request> requests = new LinkedHashMap<>();

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Adds a request; false if its id waits already. */
    boolean add(Request request) {
        return requests.put(request.id, request) == null;
    }

    void remove(Request request) {
        requests.remove(request.id);
    }

    boolean contains(Request request) {
        return requests.get(request.id) == request;
    }

    /** The newest request within its tenant's quota, else the newest; null if none waits. */
    Request next() {
        Request newest = null;
        for (Request request : requests.values()) {
            newest = newest == null || newest.isOverQuota || !request.isOverQuota ? request : newest;
        }
        return newest;
    }
}
