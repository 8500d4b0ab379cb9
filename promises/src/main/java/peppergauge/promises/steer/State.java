package peppergauge.promises.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.promises.Cell;
import peppergauge.promises.evidence.Ledger;
import peppergauge.promises.evidence.Tally;

/**
 * What the decision has to keep over restarts. Two sides' states merge in any order, and any number of times, to the
 * same: of each slot the greater tallies, of each flag the one that turned last, of each factor the greater, that is
 * the lesser steering, of what data centres hold the lesser.
 *
 * @param atMs when it was taken, Unix time, ms
 * @param windows what clients saw
 * @param shares planned, by station and data centre
 * @param factors as last told, likewise
 * @param flags by station and data centre
 * @param holds sessions a second that each data centre was seen to hold
 */
public record State(
        long atMs,
        List<Ledger.Kept> windows,
        Map<String, Map<String, Double>> shares,
        Map<String, Map<String, Double>> factors,
        Map<String, Map<String, Turn>> flags,
        Map<String, Double> holds) {

    /** As a ledger keeps them; where contracts were changed on one side, a cell has windows of two kinds. */
    private static final Comparator<Ledger.Kept> ORDER = Comparator.<Ledger.Kept, String>comparing(
                    kept -> kept.cell().station())
            .thenComparing(kept -> kept.cell().requestClass())
            .thenComparing(kept -> kept.cell().zone())
            .thenComparing(kept -> kept.windowsMs().toString());

    /** A data centre that turned bad or good for a station. */
    public record Turn(boolean bad, long untilMs, long changedMs, int flaps) {

        static Turn of(Flag flag) {
            return new Turn(flag.bad(), flag.untilMs(), flag.changedMs(), flag.flaps());
        }

        Flag flag() {
            return new Flag(bad, untilMs, changedMs, flaps);
        }
    }

    public static State merge(State one, State other) {
        State late = one.atMs >= other.atMs ? one : other;
        State early = late == one ? other : one;
        return new State(
                late.atMs,
                windows(one.windows, other.windows),
                joined(late.shares, early.shares, Math::max),
                joined(one.factors, other.factors, Math::max),
                joined(one.flags, other.flags, (a, b) -> Turn.of(Flag.later(a.flag(), b.flag()))),
                least(one.holds, other.holds));
    }

    private interface Join<T> {
        T of(T one, T other);
    }

    private static <T> Map<String, Map<String, T>> joined(
            Map<String, Map<String, T>> one, Map<String, Map<String, T>> other, Join<T> join) {
        Map<String, Map<String, T>> all = new TreeMap<>();
        List.of(one, other)
                .forEach(side -> side.forEach((station, zones) -> zones.forEach((zone, value) ->
                        all.computeIfAbsent(station, each -> new TreeMap<>()).merge(zone, value, join::of))));
        return all;
    }

    private static Map<String, Double> least(Map<String, Double> one, Map<String, Double> other) {
        Map<String, Double> all = new TreeMap<>(one);
        other.forEach((zone, held) -> all.merge(zone, held, Math::min));
        return all;
    }

    private record Which(Cell cell, List<Long> windowsMs) {}

    private static List<Ledger.Kept> windows(List<Ledger.Kept> one, List<Ledger.Kept> other) {
        Map<Which, List<Map<Long, Tally>>> all = new LinkedHashMap<>();
        List<Ledger.Kept> both = new ArrayList<>(one);
        both.addAll(other);
        both.forEach(kept -> all.merge(new Which(kept.cell(), kept.windowsMs()), kept.windows(), State::greater));
        return all.entrySet().stream()
                .map(each -> new Ledger.Kept(each.getKey().cell(), each.getKey().windowsMs(), each.getValue()))
                .sorted(ORDER)
                .toList();
    }

    private static List<Map<Long, Tally>> greater(List<Map<Long, Tally>> one, List<Map<Long, Tally>> other) {
        List<Map<Long, Tally>> all = new ArrayList<>();
        for (int i = 0; i < one.size(); i++) {
            Map<Long, Tally> slots = new TreeMap<>(one.get(i));
            other.get(i)
                    .forEach((slot, tally) -> slots.merge(
                            slot,
                            tally,
                            (a, b) -> new Tally(Math.max(a.kept(), b.kept()), Math.max(a.missed(), b.missed()))));
            all.add(slots);
        }
        return all;
    }
}
