package peppergauge.lab.emulator;

import java.util.LinkedHashMap;
import java.util.Map;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;

/** LRU cache of the keys that a server has served recently; requests for cached keys need less work. */
final class KeyCache {

    private final int maxKeys;
    private final long lifetimeTicks;
    private final double saving;
    private final LinkedHashMap<Integer, Long> lastUse = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
            return size() > maxKeys;
        }
    };

    KeyCache(ServerGroup kind) {
        maxKeys = (int) kind.memoryKeys();
        lifetimeTicks = VirtualTime.ticks(Scenario.toMillis(kind.memoryTime()));
        saving = kind.memorySaving();
    }

    void clear() {
        lastUse.clear();
    }

    /** Returns the share of the work that a request for the key needs, and caches the key; 0 is no key. */
    double access(int key, long now) {
        if (maxKeys == 0 || key == 0) {
            return 1;
        }
        Long last = lastUse.put(key, now);
        return last != null && now - last <= lifetimeTicks ? 1 - saving : 1;
    }
}
