package peppergauge.fleet.planning;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.wire.DaemonReport.Server;

/**
 * Tracks the endpoint lists of daemons: which servers most of them list, and when their lists changed. Not
 * thread-safe.
 */
final class EndpointListTracker {

    /** Time without a report after which a daemon is ignored, ms. */
    static final long DAEMON_TIMEOUT_MS = 150_000;

    private final Map<String, DaemonList> lists = new HashMap<>();
    private final TreeMap<Long, Integer> changes = new TreeMap<>();
    private Map<String, String> servers = Map.of();

    private record DaemonList(long incarnation, long sentMs, boolean hasResponseTimes, List<Server> servers) {}

    /** Updates the lists by the newest reports. */
    void update(long nowMs, Map<String, FleetView.DaemonView> views) {
        boolean changed = lists.values().removeIf(old -> nowMs - old.sentMs() > DAEMON_TIMEOUT_MS);
        for (Map.Entry<String, FleetView.DaemonView> each : views.entrySet()) {
            FleetView.DaemonView view = each.getValue();
            DaemonList before = lists.get(each.getKey());
            if (view.servers() != null
                    && nowMs - view.sentMs() <= DAEMON_TIMEOUT_MS
                    && (before == null || view.sentMs() > before.sentMs())) {
                boolean same = before != null && before.servers().equals(view.servers());
                lists.put(
                        each.getKey(),
                        new DaemonList(
                                view.incarnation(),
                                view.sentMs(),
                                view.responseTimes() != null,
                                same ? before.servers() : view.servers()));
                changed |= !same;
                if (before != null && !same) {
                    changes.merge((before.sentMs() + view.sentMs()) / 2, 1, Integer::sum);
                }
            }
        }
        changes.headMap(nowMs - DAEMON_TIMEOUT_MS).clear();
        if (changed) {
            servers = majority();
        }
    }

    /** Returns the servers that over half of the daemons list. */
    private Map<String, String> majority() {
        Map<String, Integer> counts = new HashMap<>();
        Map<String, String> zones = new HashMap<>();
        lists.values().forEach(each -> {
            Map<String, String> own = new HashMap<>();
            each.servers().forEach(server -> own.put(server.id(), server.zone()));
            // The map by id makes a daemon that lists a server twice count once.
            own.keySet().forEach(id -> counts.merge(id, 1, Integer::sum));
            zones.putAll(own);
        });
        zones.keySet().removeIf(id -> counts.get(id) * 2 <= lists.size());
        assert zones.keySet().stream()
                        .allMatch(id -> 2
                                        * lists.values().stream()
                                                .filter(each -> each.servers().stream()
                                                        .anyMatch(server ->
                                                                server.id().equals(id)))
                                                .count()
                                > lists.size())
                : "expected a majority of daemons to list each of " + zones;
        return zones;
    }

    /** Returns the zones of the servers that most daemons list, by id. */
    Map<String, String> servers() {
        return servers;
    }

    /** Returns the incarnations of the daemons that report, by name. */
    Map<String, Long> daemons() {
        Map<String, Long> daemons = new HashMap<>();
        lists.forEach((name, each) -> daemons.put(name, each.incarnation()));
        return daemons;
    }

    /** Returns whether all daemons send response times; without some of them frequent keys would seem rare. */
    boolean allHaveResponseTimes() {
        return lists.values().stream().allMatch(DaemonList::hasResponseTimes);
    }

    /** Returns the time of the first list change after a time, taken as half way between two reports of its daemon. */
    OptionalLong firstChangeAfter(long ms) {
        Long first = changes.higherKey(ms);
        return first == null ? OptionalLong.empty() : OptionalLong.of(first);
    }

    /** Returns whether all daemons sent a report at a time or later. */
    boolean allReportedSince(long ms) {
        return lists.values().stream().allMatch(each -> each.sentMs() >= ms);
    }
}
