package peppergauge.fleet.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import peppergauge.fleet.wire.DaemonReport;

/**
 * Stores the newest report of each daemon's last incarnations. The store is a join semilattice: instances that received
 * the same reports, in any order and any number of times, have the same state.
 *
 * <p>Each stored report has a stamp, local to this instance, which grows with each change: another instance polls for
 * what changed since a stamp. Not thread-safe.
 */
public final class ReportStore {

    /** Most incarnations stored of each daemon. A former one is retained until all instances agree on it. */
    static final int MAX_INCARNATIONS = 2;
    /** Total order of reports, so that all instances store the same one if a faulty daemon reuses a sequence number. */
    private static final Comparator<DaemonReport> NEWER = Comparator.comparingLong(DaemonReport::sequence)
            .thenComparingLong(DaemonReport::sentMs)
            .thenComparing(DaemonReport::toString);

    private final Map<String, TreeMap<Long, StoredReport>> daemons = new HashMap<>();
    private final TreeMap<Long, StoredReport> changes = new TreeMap<>();
    private long stamp;
    private long bytes;

    private record StoredReport(DaemonReport report, long stamp, boolean fromDaemon) {}

    /** A stored report and the one that it replaced, null for none. */
    public record Change(DaemonReport before, DaemonReport now) {}

    /** Adds a report that came from its daemon, as {@link #add(DaemonReport, boolean)} does. */
    public Change add(DaemonReport report) {
        return add(report, true);
    }

    /**
     * Adds a report.
     *
     * @param fromDaemon whether it came from its daemon, not from another instance
     * @return the change, null if the report is stored already or is older than all that are stored of its daemon
     */
    public Change add(DaemonReport report, boolean fromDaemon) {
        TreeMap<Long, StoredReport> incarnations = daemons.computeIfAbsent(report.daemon(), name -> new TreeMap<>());
        StoredReport stored = incarnations.get(report.incarnation());
        if (stored != null && NEWER.compare(report, stored.report()) <= 0
                || stored == null
                        && incarnations.size() >= MAX_INCARNATIONS
                        && report.incarnation() < incarnations.firstKey()) {
            return null;
        }
        put(incarnations, report, stored, fromDaemon);
        if (incarnations.size() > MAX_INCARNATIONS) {
            remove(incarnations.pollFirstEntry().getValue());
        }
        assert incarnations.size() <= MAX_INCARNATIONS && changes.size() <= MAX_INCARNATIONS * daemons.size()
                : "expected at most " + MAX_INCARNATIONS + " reports of each daemon, got incarnations "
                        + incarnations.keySet() + " and " + changes.size() + " reports of " + daemons.size()
                        + " daemons";
        return new Change(stored == null ? null : stored.report(), report);
    }

    private void put(
            TreeMap<Long, StoredReport> incarnations, DaemonReport report, StoredReport before, boolean fromDaemon) {
        if (before != null) {
            remove(before);
        }
        bytes += bytes(report);
        StoredReport stored = new StoredReport(report, ++stamp, fromDaemon);
        incarnations.put(report.incarnation(), stored);
        changes.put(stamp, stored);
    }

    private void remove(StoredReport stored) {
        changes.remove(stored.stamp());
        bytes -= bytes(stored.report());
    }

    /** Merges all reports of another store. */
    public void merge(ReportStore other) {
        other.reports().forEach(this::add);
        assert isConsistent() : inconsistency();
    }

    /** Removes reports that were sent longer ago than {@code retentionMs}. */
    public void removeOlderThan(long nowMs, long retentionMs) {
        daemons.values()
                .forEach(incarnations -> incarnations.values().removeIf(stored -> {
                    boolean old = nowMs - stored.report().sentMs() > retentionMs;
                    if (old) {
                        remove(stored);
                    }
                    return old;
                }));
        daemons.values().removeIf(Map::isEmpty);
        assert isConsistent() : inconsistency();
    }

    private String inconsistency() {
        return "stored reports do not match the sum of " + bytes + " bytes in " + changes.size() + " reports";
    }

    /** Returns whether stamps and sizes match the stored reports. */
    private boolean isConsistent() {
        long sum = 0;
        int count = 0;
        for (Map.Entry<String, TreeMap<Long, StoredReport>> each : daemons.entrySet()) {
            for (Map.Entry<Long, StoredReport> stored : each.getValue().entrySet()) {
                DaemonReport report = stored.getValue().report();
                if (changes.get(stored.getValue().stamp()) != stored.getValue()
                        || !report.daemon().equals(each.getKey())
                        || report.incarnation() != stored.getKey()) {
                    return false;
                }
                sum += bytes(report);
                count++;
            }
        }
        return sum == bytes && count == changes.size() && (changes.isEmpty() || changes.lastKey() <= stamp);
    }

    /** Returns the newest report of a daemon, null for none. */
    public DaemonReport newest(String daemon) {
        TreeMap<Long, StoredReport> incarnations = daemons.get(daemon);
        return incarnations == null || incarnations.isEmpty()
                ? null
                : incarnations.lastEntry().getValue().report();
    }

    /** Returns the number of daemons whose newest report was sent at a time or later. */
    public int countSentSince(long ms) {
        return (int) daemons.keySet().stream()
                .filter(name -> newest(name).sentMs() >= ms)
                .count();
    }

    /** Returns the number of daemons. */
    public int size() {
        return daemons.size();
    }

    /** Returns the approximate size of all reports on the wire, bytes. */
    public long bytes() {
        return bytes;
    }

    /** Returns all reports, least recently changed first. */
    public List<DaemonReport> reports() {
        return changes.values().stream().map(StoredReport::report).toList();
    }

    /** Returns the newest report of each daemon. */
    public List<DaemonReport> newest() {
        return daemons.keySet().stream().map(this::newest).collect(Collectors.toList());
    }

    /**
     * Returns what changed since a stamp: at least one report if any changed, and about {@code maxBytes} at most.
     *
     * @param includeRelayed whether to include reports that came from other instances
     */
    public Changes changesSince(long from, long maxBytes, boolean includeRelayed) {
        List<DaemonReport> changed = new ArrayList<>();
        long through = from;
        long sum = 0;
        for (Map.Entry<Long, StoredReport> change : changes.tailMap(from, false).entrySet()) {
            StoredReport stored = change.getValue();
            if (includeRelayed || stored.fromDaemon()) {
                sum += bytes(stored.report());
                if (sum > maxBytes && !changed.isEmpty()) {
                    return new Changes(changed, through, true);
                }
                changed.add(stored.report());
            }
            through = change.getKey();
        }
        return new Changes(changed, stamp, false);
    }

    /** Returns the approximate size of a report on the wire, bytes. */
    private static long bytes(DaemonReport report) {
        long bytes = 300;
        for (DaemonReport.TrafficCounts counts : report.counts()) {
            bytes += 130 + (counts.latency() == null ? 0 : counts.latency().length());
        }
        return bytes
                + (report.keys() == null ? 0 : report.keys().keys().size() * 200L)
                + (report.servers() == null ? 0 : report.servers().size() * 60L)
                + (report.serviceTimes() == null
                        ? 0
                        : report.serviceTimes().values().stream()
                                .mapToLong(seen -> 3_000 + 90L * seen.fresh().size())
                                .sum())
                + (report.levels() == null
                        ? 0
                        : 200 + 90L * report.levels().keys().size());
    }

    /**
     * Changed reports.
     *
     * @param through stamp to poll from next
     * @param more whether there are more changes
     */
    public record Changes(List<DaemonReport> reports, long through, boolean more) {}

    /** Returns all reports by daemon and incarnation. */
    public Map<String, Map<Long, DaemonReport>> reportsByDaemon() {
        Map<String, Map<Long, DaemonReport>> byDaemon = new HashMap<>();
        reports()
                .forEach(report -> byDaemon.computeIfAbsent(report.daemon(), name -> new HashMap<>())
                        .put(report.incarnation(), report));
        return byDaemon;
    }
}
