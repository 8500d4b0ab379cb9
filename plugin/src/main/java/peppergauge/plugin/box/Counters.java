package peppergauge.plugin.box;

import java.util.Map;
import java.util.TreeMap;

/** Numbers that a plug-in counts up by name, for people to read; bounded in number. */
public final class Counters {

    public static final int MOST = 256;
    public static final int LONGEST_NAME = 64;

    private final Map<String, Long> counts = new TreeMap<>();

    /** Whether there was room for the name. */
    synchronized boolean add(String name, long more) {
        if (!counts.containsKey(name) && counts.size() >= MOST) {
            return false;
        }
        counts.merge(name, more, Long::sum);
        return true;
    }

    public synchronized Map<String, Long> all() {
        return new TreeMap<>(counts);
    }
}
