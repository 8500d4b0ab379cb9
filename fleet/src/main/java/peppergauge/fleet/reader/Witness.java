package peppergauge.fleet.reader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.state.Latencies;
import peppergauge.promises.TrafficKey;
import peppergauge.settings.SettingsNames;

/**
 * Counts what this sidecar's clients saw, by station, class and the data centre that was last sent to. All on the
 * loop, without locks; a cell costs some 10 KiB from its first session on.
 */
public final class Witness {

    private static final int NOWHERE = -1;

    private final SettingsNames names;
    private final Map<Integer, Counted> cells = new HashMap<>();
    /** Of sessions that are open. */
    private final Map<String, Integer> zones = new HashMap<>();

    private final Map<String, Integer> zoneOfServer = new HashMap<>();

    /** How sessions end. */
    public enum Ending {
        ANSWERED,
        DENIED,
        FAILED
    }

    /** @param latency not to be changed by who is handed it */
    public record Cells(TrafficKey cell, long answered, long denied, long failed, Histogram latency) {}

    private static final class Counted {
        private long answered;
        private long denied;
        private long failed;
        /** Made by the first answer. */
        private Histogram latency;
    }

    public Witness(SettingsNames names) {
        this.names = names;
    }

    public void listed(boolean whole, Map<String, Integer> zoneByServer) {
        if (whole) {
            zoneOfServer.clear();
        }
        zoneOfServer.putAll(zoneByServer);
    }

    /** An attempt goes out: of one session one is out at a time, so the last is the one that answers. */
    public void sent(String id, String server) {
        zones.put(id, zoneOfServer.getOrDefault(server, NOWHERE));
    }

    public void ended(String id, int tenant, int requestClass, Ending ending, double tookMs) {
        Integer sentTo = zones.remove(id);
        int zone = sentTo == null ? NOWHERE : sentTo;
        Counted counted = cells.computeIfAbsent(key(tenant, requestClass, zone), key -> new Counted());
        switch (ending) {
            case ANSWERED -> {
                counted.answered++;
                if (counted.latency == null) {
                    counted.latency = Latencies.empty();
                }
                counted.latency.recordValue(Math.min(Latencies.MOST_MS, Math.max(0, Math.round(tookMs))));
            }
            case DENIED -> counted.denied++;
            default -> counted.failed++;
        }
    }

    /** Sessions of which an attempt went out. */
    int open() {
        return zones.size();
    }

    private int key(int tenant, int requestClass, int zone) {
        return (tenant * Math.max(1, names.classes().size()) + requestClass)
                        * (names.zones().size() + 1)
                + zone
                + 1;
    }

    /** A copy, for another thread. */
    public List<Cells> copy() {
        List<Cells> copy = new ArrayList<>();
        int zones = names.zones().size() + 1;
        int classes = Math.max(1, names.classes().size());
        cells.forEach((key, counted) -> copy.add(new Cells(
                new TrafficKey(
                        name(names.tenants(), key / zones / classes),
                        name(names.classes(), key / zones % classes),
                        key % zones == 0 ? TrafficKey.NO_ZONE : names.zones().get(key % zones - 1)),
                counted.answered,
                counted.denied,
                counted.failed,
                counted.latency == null ? null : counted.latency.copy())));
        return copy;
    }

    static String name(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "unknown";
    }
}
