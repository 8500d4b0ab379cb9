package peppergauge.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Servers that a source reported draining or stopped and does not list any more. They keep an outdated list of another
 * source from adding a server again. The number of servers is bounded; the oldest are dropped.
 */
final class DepartedServers {

    private static final int MAX_SERVERS = 4_096;

    private final Map<String, Boolean> ids = bounded();
    private final Map<String, Double> departedAtMs = bounded();

    private static <T> Map<String, T> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > MAX_SERVERS;
            }
        };
    }

    /**
     * Records that a server departed.
     *
     * @param address null if the address is not known
     */
    void markDeparted(String id, String address, double nowMs) {
        ids.put(id, true);
        if (address != null) {
            departedAtMs.put(address, nowMs);
        }
    }

    /** Records that a server is listed again. */
    void markListed(String id, String address) {
        ids.remove(id);
        departedAtMs.remove(address);
    }

    boolean contains(String id) {
        return ids.containsKey(id);
    }

    /** Returns whether a server at this address departed at {@code sinceMs} or later. */
    boolean hasDepartedFrom(String address, double sinceMs) {
        Double departedMs = departedAtMs.get(address);
        return departedMs != null && sinceMs <= departedMs;
    }
}
