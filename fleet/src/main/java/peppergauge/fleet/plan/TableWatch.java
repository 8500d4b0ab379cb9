package peppergauge.fleet.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.wire.DaemonReport.Server;

/** Server tables of daemons that report, which of them most agree on, and when daemons' tables changed. */
final class TableWatch {

    /** Of daemons silent for longer nothing counts; the longest interval is a minute by preset. */
    static final long LIVE_MS = 150_000;

    private final Map<String, Told> told = new HashMap<>();
    private final TreeMap<Long, Integer> changes = new TreeMap<>();
    private Map<String, String> servers = Map.of();

    private record Told(long incarnation, long sentMs, boolean levelled, List<Server> table) {}

    void look(long nowMs, Map<String, MergedView.Account> accounts) {
        boolean changed = told.values().removeIf(old -> nowMs - old.sentMs() > LIVE_MS);
        for (Map.Entry<String, MergedView.Account> each : accounts.entrySet()) {
            MergedView.Account account = each.getValue();
            Told before = told.get(each.getKey());
            if (account.servers() != null
                    && nowMs - account.sentMs() <= LIVE_MS
                    && (before == null || account.sentMs() > before.sentMs())) {
                boolean same = before != null && before.table().equals(account.servers());
                told.put(
                        each.getKey(),
                        new Told(
                                account.incarnation(),
                                account.sentMs(),
                                account.levels() != null,
                                same ? before.table() : account.servers()));
                changed |= !same;
                if (before != null && !same) {
                    changes.merge((before.sentMs() + account.sentMs()) / 2, 1, Integer::sum);
                }
            }
        }
        changes.headMap(nowMs - LIVE_MS).clear();
        if (changed) {
            servers = most();
        }
    }

    /** Servers that over half of the daemons list. */
    private Map<String, String> most() {
        Map<String, Integer> counts = new HashMap<>();
        Map<String, String> zones = new HashMap<>();
        told.values().forEach(each -> {
            Map<String, String> own = new HashMap<>();
            each.table().forEach(server -> own.put(server.id(), server.zone()));
            // Whoever lists a server twice is still one.
            own.keySet().forEach(id -> counts.merge(id, 1, Integer::sum));
            zones.putAll(own);
        });
        zones.keySet().removeIf(id -> counts.get(id) * 2 <= told.size());
        assert zones.keySet().stream()
                        .allMatch(id -> 2
                                        * told.values().stream()
                                                .filter(each -> each.table().stream()
                                                        .anyMatch(server ->
                                                                server.id().equals(id)))
                                                .count()
                                > told.size())
                : "few list all of " + zones;
        return zones;
    }

    Map<String, String> servers() {
        return servers;
    }

    /** Incarnations of daemons that report, by name. */
    Map<String, Long> daemons() {
        Map<String, Long> daemons = new HashMap<>();
        told.forEach((name, each) -> daemons.put(name, each.incarnation()));
        return daemons;
    }

    /** Whether all tell levels; of a part of the fleet popular keys would look like rare ones. */
    boolean levelled() {
        return told.values().stream().allMatch(Told::levelled);
    }

    /** When the first daemon's table changed after that time: half way between two of its reports. */
    OptionalLong firstChangeAfter(long ms) {
        Long first = changes.higherKey(ms);
        return first == null ? OptionalLong.empty() : OptionalLong.of(first);
    }

    /** Whether all have told of that time. */
    boolean heardOf(long ms) {
        return told.values().stream().allMatch(each -> each.sentMs() >= ms);
    }
}
