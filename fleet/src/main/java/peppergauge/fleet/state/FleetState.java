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
 * The newest accounts of each daemon's last incarnations: a join semilattice, so that instances that were told the
 * same in any order, any number of times and through any of them hold the same. Not safe for several threads.
 *
 * <p>Beside it, and no part of what is merged, each account has a stamp that grows with each change here: another
 * instance asks for what changed since the stamp that it has.
 */
public final class FleetState {

    /** Accounts of dead incarnations are kept so that instances agree on them before they are dropped. */
    static final int INCARNATIONS = 2;
    /** Of one (incarnation, sequence) there is one report; where a broken daemon sends two, all keep the same. */
    private static final Comparator<DaemonReport> NEWER = Comparator.comparingLong(DaemonReport::sequence)
            .thenComparingLong(DaemonReport::sentMs)
            .thenComparing(DaemonReport::toString);

    private final Map<String, TreeMap<Long, Held>> daemons = new HashMap<>();
    private final TreeMap<Long, Held> changes = new TreeMap<>();
    private long stamp;
    private long bytes;

    private record Held(DaemonReport report, long stamp, boolean firstHand) {}

    /** What a report took the place of. */
    public record Change(DaemonReport before, DaemonReport now) {}

    /** As {@link #take(DaemonReport, boolean)}, of the daemon itself. */
    public Change take(DaemonReport report) {
        return take(report, true);
    }

    /**
     * @param firstHand from the daemon itself, not from another instance
     * @return null where all of it is held already, or it is older than all that is held of its daemon
     */
    public Change take(DaemonReport report, boolean firstHand) {
        TreeMap<Long, Held> incarnations = daemons.computeIfAbsent(report.daemon(), name -> new TreeMap<>());
        Held held = incarnations.get(report.incarnation());
        if (held != null && NEWER.compare(report, held.report()) <= 0
                || held == null
                        && incarnations.size() >= INCARNATIONS
                        && report.incarnation() < incarnations.firstKey()) {
            return null;
        }
        put(incarnations, report, held, firstHand);
        if (incarnations.size() > INCARNATIONS) {
            drop(incarnations.pollFirstEntry().getValue());
        }
        assert incarnations.size() <= INCARNATIONS && changes.size() <= INCARNATIONS * daemons.size()
                : "more accounts" + " than are kept: " + incarnations.keySet() + ", " + changes.size() + " of "
                        + daemons.size();
        return new Change(held == null ? null : held.report(), report);
    }

    private void put(TreeMap<Long, Held> incarnations, DaemonReport report, Held before, boolean firstHand) {
        if (before != null) {
            drop(before);
        }
        bytes += bytes(report);
        Held held = new Held(report, ++stamp, firstHand);
        incarnations.put(report.incarnation(), held);
        changes.put(stamp, held);
    }

    private void drop(Held held) {
        changes.remove(held.stamp());
        bytes -= bytes(held.report());
    }

    /** The least state that holds both. */
    public void join(FleetState other) {
        other.reports().forEach(this::take);
        assert sound() : "what is held does not add up to " + bytes + " bytes in " + changes.size() + " accounts";
    }

    /** Drops each account that was sent longer ago. A rule of account and time alone: all instances drop the same. */
    public void forget(long nowMs, long forgetMs) {
        daemons.values()
                .forEach(incarnations -> incarnations.values().removeIf(held -> {
                    boolean old = nowMs - held.report().sentMs() > forgetMs;
                    if (old) {
                        drop(held);
                    }
                    return old;
                }));
        daemons.values().removeIf(Map::isEmpty);
        assert sound() : "what is held does not add up to " + bytes + " bytes in " + changes.size() + " accounts";
    }

    /** Stamps and bytes are those of the accounts, of each incarnation one. */
    private boolean sound() {
        long sum = 0;
        int accounts = 0;
        for (Map.Entry<String, TreeMap<Long, Held>> each : daemons.entrySet()) {
            for (Map.Entry<Long, Held> held : each.getValue().entrySet()) {
                DaemonReport report = held.getValue().report();
                if (changes.get(held.getValue().stamp()) != held.getValue()
                        || !report.daemon().equals(each.getKey())
                        || report.incarnation() != held.getKey()) {
                    return false;
                }
                sum += bytes(report);
                accounts++;
            }
        }
        return sum == bytes && accounts == changes.size() && (changes.isEmpty() || changes.lastKey() <= stamp);
    }

    /** Null where none is held. */
    public DaemonReport newest(String daemon) {
        TreeMap<Long, Held> incarnations = daemons.get(daemon);
        return incarnations == null || incarnations.isEmpty()
                ? null
                : incarnations.lastEntry().getValue().report();
    }

    /** Daemons whose newest account was sent at that time or later. */
    public int sentSince(long ms) {
        return (int) daemons.keySet().stream()
                .filter(name -> newest(name).sentMs() >= ms)
                .count();
    }

    public int size() {
        return daemons.size();
    }

    /** About as many as all accounts take on the wire. */
    public long bytes() {
        return bytes;
    }

    /** All accounts, the longest unchanged first. */
    public List<DaemonReport> reports() {
        return changes.values().stream().map(Held::report).toList();
    }

    /** Newest of each daemon. */
    public List<DaemonReport> newest() {
        return daemons.keySet().stream().map(this::newest).collect(Collectors.toList());
    }

    /**
     * What changed since, and the stamp to ask from next; about so many bytes at once, and at least one report.
     *
     * @param all also what other instances told: not asked for by one that reaches them
     */
    public Changes since(long from, long mostBytes, boolean all) {
        List<DaemonReport> changed = new ArrayList<>();
        long through = from;
        long sum = 0;
        for (Map.Entry<Long, Held> change : changes.tailMap(from, false).entrySet()) {
            Held held = change.getValue();
            if (all || held.firstHand()) {
                sum += bytes(held.report());
                if (sum > mostBytes && !changed.isEmpty()) {
                    return new Changes(changed, through, true);
                }
                changed.add(held.report());
            }
            through = change.getKey();
        }
        return new Changes(changed, stamp, false);
    }

    /** About as long as it is on the wire. */
    private static long bytes(DaemonReport report) {
        long bytes = 300;
        for (DaemonReport.CellCounts counts : report.cells()) {
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

    /** @param through asked from there, what comes next follows */
    public record Changes(List<DaemonReport> reports, long through, boolean more) {}

    /** Equal where the same is held, whatever the stamps. */
    public Map<String, Map<Long, DaemonReport>> accounts() {
        Map<String, Map<Long, DaemonReport>> accounts = new HashMap<>();
        reports()
                .forEach(report -> accounts.computeIfAbsent(report.daemon(), name -> new HashMap<>())
                        .put(report.incarnation(), report));
        return accounts;
    }
}
