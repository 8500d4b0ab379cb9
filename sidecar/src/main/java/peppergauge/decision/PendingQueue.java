package peppergauge.decision;

import java.util.LinkedHashMap;

/** Pending requests, sent newest first: under lasting overload, the oldest would be answered too late. */
final class PendingQueue {

    private final LinkedHashMap<String, Request> requests = new LinkedHashMap<>();

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Adds a request, replacing one with the same id; returns false if it replaced one. */
    boolean add(Request request) {
        return requests.put(request.id, request) == null;
    }

    void remove(Request request) {
        requests.remove(request.id);
    }

    boolean contains(Request request) {
        return requests.get(request.id) == request;
    }

    /** The newest request within its tenant's quota, or else the newest of all; null if the queue is empty. */
    Request next() {
        Request newest = null;
        for (Request request : requests.values()) {
            newest = newest == null || newest.isOverQuota || !request.isOverQuota ? request : newest;
        }
        return newest;
    }
}
