package peppergauge.promises.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import peppergauge.promises.MoveCost;
import peppergauge.promises.Steering;

/**
 * Deals room out. All stations begin at their natural shares; then, in the order of the penalty that each session a
 * second of room saves, each station's sessions leave the data centres that are bad for it, down to the floor, and
 * spread over its good ones in proportion to the room that is left there (water-filling). What it leaves is room for
 * those after it. If room ends, who has the least penalty for it stays where it is.
 */
public final class Solver {

    /** What a data centre may be planned beyond what it was seen to hold, so that it can be seen to hold more. */
    public static final double STRETCH = 0.05;

    private static final double CLOSE = 1e-9;
    private static final int BISECTIONS = 12;

    private final ToDoubleFunction<String> holds;
    private final MoveCost cost;
    private final Map<String, Double> load = new TreeMap<>();
    private final Map<String, Double> natural = new TreeMap<>();

    private Solver(ToDoubleFunction<String> holds, MoveCost cost) {
        this.holds = holds;
        this.cost = cost;
    }

    /** @param holds sessions a second that a data centre was seen to hold */
    public static Plan solve(List<Wish> wishes, ToDoubleFunction<String> holds, MoveCost cost) {
        Solver solver = new Solver(holds, cost);
        wishes.forEach(solver::stand);
        List<Wish> order = new ArrayList<>(wishes);
        order.sort(Comparator.comparingDouble(Wish::density).reversed().thenComparing(Wish::station));
        Map<String, Map<String, Double>> shares = new TreeMap<>();
        for (Wish wish : order) {
            Map<String, Double> moved = solver.move(wish);
            assert valid(wish, moved) : wish + " got " + moved;
            shares.put(wish.station(), moved);
        }
        assert solver.withinHolds() : solver.load + " over what is held";
        return new Plan(shares);
    }

    private void stand(Wish wish) {
        wish.natural().forEach((zone, share) -> {
            load.merge(zone, share * wish.perS(), Double::sum);
            natural.merge(zone, share * wish.perS(), Double::sum);
        });
    }

    private double room(String zone) {
        return Math.max(0, holds.applyAsDouble(zone) * (1 + STRETCH) - load.getOrDefault(zone, 0.0));
    }

    private Map<String, Double> move(Wish wish) {
        Map<String, Double> shares = new TreeMap<>(wish.natural());
        Map<String, Double> room = new TreeMap<>();
        wish.natural().keySet().stream()
                .filter(zone -> wish.allowed().contains(zone) && !wish.bad().contains(zone))
                .forEach(zone -> room.put(zone, roomFor(wish, zone)));
        double sum = room.values().stream().mapToDouble(each -> each).sum();
        double leaving = 0;
        for (Map.Entry<String, Double> each : shares.entrySet()) {
            leaving += room.containsKey(each.getKey()) ? 0 : leaves(each.getValue());
        }
        if (sum <= CLOSE || leaving <= CLOSE) {
            return shares;
        }
        double each = leaving / sum;
        double part = part(wish, room, each);
        assert part >= 0 && part <= 1 : "a part of " + part + " moves of " + wish;
        shares.replaceAll((zone, share) ->
                room.containsKey(zone) ? share + each * part * room.get(zone) : share - part * leaves(share));
        shares.forEach((zone, share) ->
                load.merge(zone, work(wish, zone, share - wish.natural().get(zone)), Double::sum));
        return shares;
    }

    /** The part of a move that fits, cold memories' extra work included; by bisection, since nobody says its shape. */
    private double part(Wish wish, Map<String, Double> room, double each) {
        double fits = 0;
        double most = Math.min(1, 1 / each);
        double tried = most;
        for (int i = 0; i < BISECTIONS; i++) {
            double part = tried;
            boolean all = room.entrySet().stream()
                    .allMatch(zone -> work(wish, zone.getKey(), each * part * zone.getValue())
                            <= zone.getValue() * wish.perS() + CLOSE);
            if (all && part == most) {
                return most;
            }
            fits = all ? part : fits;
            most = all ? most : part;
            tried = (fits + most) / 2;
        }
        return fits;
    }

    /** Sessions a second more there, and what they cost beyond the usual while memories are cold. */
    private double work(Wish wish, String zone, double more) {
        double from = wish.natural().get(zone);
        return wish.perS() * (more + (more > 0 ? cost.extraWork(wish.station(), zone, from, from + more) : 0));
    }

    /** Share of its sessions that a station takes away; it keeps the floor, so that the data centre is heard of. */
    private static double leaves(double share) {
        return Math.max(0, share - Steering.FLOOR);
    }

    /** Share of its sessions that a station may add there. */
    private double roomFor(Wish wish, String zone) {
        return room(zone) / Math.max(wish.perS(), CLOSE);
    }

    private static boolean valid(Wish wish, Map<String, Double> shares) {
        double sum = shares.values().stream().mapToDouble(each -> each).sum();
        return Math.abs(sum - 1) < 1e-6
                && shares.entrySet().stream().allMatch(each -> {
                    double was = wish.natural().get(each.getKey());
                    boolean good = wish.allowed().contains(each.getKey())
                            && !wish.bad().contains(each.getKey());
                    return each.getValue() >= Math.min(Steering.FLOOR, was) - CLOSE
                            && (good || each.getValue() <= was + CLOSE);
                });
    }

    /**
     * Steering brings no data centre over what it was seen to hold; where it stands over that by itself, no further.
     */
    private boolean withinHolds() {
        return load.entrySet().stream()
                .allMatch(each -> each.getValue()
                        <= 1e-6
                                + Math.max(
                                        natural.getOrDefault(each.getKey(), 0.0),
                                        holds.applyAsDouble(each.getKey()) * (1 + STRETCH)));
    }
}
