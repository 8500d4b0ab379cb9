package peppergauge.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/** Servers that a source told to leave and lists no more; guards against another source that is behind. */
final class Departed {

    private static final int MOST = 4_096;

    private final Map<String, Boolean> ids = bounded();
    private final Map<String, Double> placesMs = bounded();

    private static <T> Map<String, T> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > MOST;
            }
        };
    }

    /** @param address null if it is not known */
    void left(String id, String address, double nowMs) {
        ids.put(id, true);
        if (address != null) {
            placesMs.put(address, nowMs);
        }
    }

    void listed(String id, String address) {
        ids.remove(id);
        placesMs.remove(address);
    }

    boolean has(String id) {
        return ids.containsKey(id);
    }

    /** Whether one that was at this address since then has left it. */
    boolean since(String address, double sinceMs) {
        Double leftMs = placesMs.get(address);
        return leftMs != null && sinceMs <= leftMs;
    }
}
