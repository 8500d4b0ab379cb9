package peppergauge.fleet.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.promises.TrafficKey;
import peppergauge.settings.SettingsNames;

/**
 * Counts this sidecar's requests by tenant, class and the zone of their last attempt. A key takes about 10 KiB from its
 * first response on. Not thread-safe; runs on the event loop.
 */
public final class TrafficCounter {

    private static final int NO_ZONE = -1;

    private final SettingsNames names;
    private final Map<Integer, MutableCounts> countsByKey = new HashMap<>();
    /** Zone of the last attempt of each open request. */
    private final Map<String, Integer> zones = new HashMap<>();

    private final Map<String, Integer> zoneOfServer = new HashMap<>();

    /** How a request ended. */
    public enum Outcome {
        ANSWERED,
        REJECTED,
        FAILED
    }

    /**
     * Counts of one key.
     *
     * @param latency latencies in ms, null for none; not to be changed by the caller
     */
    public record KeyCounts(TrafficKey key, long answered, long rejected, long failed, Histogram latency) {}

    private static final class MutableCounts {
        private long answered;
        private long rejected;
        private long failed;
        /** Created with the first response. */
        private Histogram latency;
    }

    public TrafficCounter(SettingsNames names) {
        this.names = names;
    }

    /** Updates the zones of servers by an endpoint update. */
    public void onEndpointUpdate(boolean complete, Map<String, Integer> zoneByServer) {
        if (complete) {
            zoneOfServer.clear();
        }
        zoneOfServer.putAll(zoneByServer);
    }

    /**
     * Records that an attempt is sent. A request has one attempt at a time, so the response belongs to the last one.
     */
    public void onAttemptSent(String id, String server) {
        zones.put(id, zoneOfServer.getOrDefault(server, NO_ZONE));
    }

    /** Counts a request that ended. */
    public void onRequestEnded(String id, int tenant, int requestClass, Outcome outcome, double latencyMs) {
        Integer sentTo = zones.remove(id);
        int zone = sentTo == null ? NO_ZONE : sentTo;
        MutableCounts counts = countsByKey.computeIfAbsent(key(tenant, requestClass, zone), key -> new MutableCounts());
        switch (outcome) {
            case ANSWERED -> {
                counts.answered++;
                if (counts.latency == null) {
                    counts.latency = LatencyHistograms.empty();
                }
                counts.latency.recordValue(
                        Math.min(LatencyHistograms.MAX_LATENCY_MS, Math.max(0, Math.round(latencyMs))));
            }
            case REJECTED -> counts.rejected++;
            default -> counts.failed++;
        }
    }

    /** Returns the number of open requests that have been sent to a server. */
    int openRequests() {
        return zones.size();
    }

    private int key(int tenant, int requestClass, int zone) {
        return (tenant * Math.max(1, names.classes().size()) + requestClass)
                        * (names.zones().size() + 1)
                + zone
                + 1;
    }

    /** Returns a copy of all counts that other threads may read. */
    public List<KeyCounts> copy() {
        List<KeyCounts> copy = new ArrayList<>();
        int zoneCount = names.zones().size() + 1;
        int classCount = Math.max(1, names.classes().size());
        countsByKey.forEach((key, counts) -> copy.add(new KeyCounts(
                new TrafficKey(
                        nameAt(names.tenants(), key / zoneCount / classCount),
                        nameAt(names.classes(), key / zoneCount % classCount),
                        key % zoneCount == 0
                                ? TrafficKey.NO_ZONE
                                : names.zones().get(key % zoneCount - 1)),
                counts.answered,
                counts.rejected,
                counts.failed,
                counts.latency == null ? null : counts.latency.copy())));
        return copy;
    }

    static String nameAt(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "unknown";
    }
}
