package peppergauge.lab.emulator;

import java.util.LinkedHashMap;
import java.util.Map;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;

/** LRU cache of the keys that a server has served recently; requests for cached keys need less work. */
final class KeyMemory {

    private final int most;
    private final long window;
    private final double saving;
    private final LinkedHashMap<Integer, Long> met = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
            return size() > most;
        }
    };

    KeyMemory(ServerKind kind) {
        most = (int) kind.memoryKeys();
        window = VirtualTime.ticks(Scenario.ms(kind.memoryTime()));
        saving = kind.memorySaving();
    }

    void clear() {
        met.clear();
    }

    /** Returns the share of the work that a request for the key needs, and caches the key; 0 is no key. */
    double meet(int key, long now) {
        if (most == 0 || key == 0) {
            return 1;
        }
        Long last = met.put(key, now);
        return last != null && now - last <= window ? 1 - saving : 1;
    }
}
