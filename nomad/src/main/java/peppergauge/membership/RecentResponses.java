package peppergauge.membership;

import java.util.HashMap;
import java.util.Map;

/** Times of the last successful response of each server, by address; all times in milliseconds. */
final class RecentResponses {

    private final double windowMs;
    private final Map<String, Double> lastMs = new HashMap<>();

    /** @param windowMs how long a response counts as recent */
    RecentResponses(double windowMs) {
        this.windowMs = windowMs;
    }

    void onResponse(String address, double nowMs) {
        lastMs.put(address, nowMs);
    }

    boolean hasRecent(String address, double nowMs) {
        Double last = lastMs.get(address);
        return last != null && nowMs - last <= windowMs;
    }

    boolean hasAnyRecent(double nowMs) {
        return lastMs.values().stream().anyMatch(last -> nowMs - last <= windowMs);
    }

    /** Removes responses that are not recent any more. */
    void prune(double nowMs) {
        lastMs.values().removeIf(last -> nowMs - last > windowMs);
    }
}
