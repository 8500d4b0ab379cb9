package peppergauge.membership;

import java.util.HashMap;
import java.util.Map;

/** Time of the last successful response of each server, by address. All times in milliseconds. */
final class RecentResponses {

    private final double windowMs;
    private final Map<String, Double> lastResponseMs = new HashMap<>();

    /** @param windowMs how long a response counts as recent */
    RecentResponses(double windowMs) {
        this.windowMs = windowMs;
    }

    void onResponse(String address, double nowMs) {
        lastResponseMs.put(address, nowMs);
    }

    boolean hasRecent(String address, double nowMs) {
        Double last = lastResponseMs.get(address);
        return last != null && nowMs - last <= windowMs;
    }

    boolean hasAnyRecent(double nowMs) {
        return lastResponseMs.values().stream().anyMatch(last -> nowMs - last <= windowMs);
    }

    /** Removes responses that are not recent any more. */
    void prune(double nowMs) {
        lastResponseMs.values().removeIf(last -> nowMs - last > windowMs);
    }
}
