package peppergauge.membership;

import java.util.HashMap;
import java.util.Map;

/** Which servers answered lately, by address: what attempts show, against which no list has the last word. */
final class Answers {

    private final double countsMs;
    private final Map<String, Double> lastMs = new HashMap<>();

    Answers(double countsMs) {
        this.countsMs = countsMs;
    }

    void answered(String address, double nowMs) {
        lastMs.put(address, nowMs);
    }

    boolean lately(String address, double nowMs) {
        Double last = lastMs.get(address);
        return last != null && nowMs - last <= countsMs;
    }

    boolean anyLately(double nowMs) {
        return lastMs.values().stream().anyMatch(last -> nowMs - last <= countsMs);
    }

    void prune(double nowMs) {
        lastMs.values().removeIf(last -> nowMs - last > countsMs);
    }
}
