package peppergauge.promises;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import peppergauge.promises.plan.Plan;
import peppergauge.promises.plan.Solver;
import peppergauge.promises.plan.Wish;

/** What holds whatever comes; the assertions in the code itself hold too, since tests run with them. */
class SteererPropertiesTest {

    private static final List<String> ZONES = List.of("x", "y", "z", "w");

    @Property(tries = 500, seed = "21")
    void noPlanGoesBeyondContractsOrHoldsAndLossFollowsPenalties(@ForAll long seed) {
        Random random = new Random(seed);
        int zones = 2 + random.nextInt(3);
        Map<String, Double> holds = new HashMap<>();
        ZONES.subList(0, zones).forEach(zone -> holds.put(zone, 60 * random.nextDouble()));
        List<Wish> wishes = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(5); i++) {
            Set<String> bad = new HashSet<>();
            Set<String> allowed = new HashSet<>(ZONES.subList(0, zones));
            ZONES.subList(1, zones).forEach(zone -> {
                if (random.nextInt(3) == 0) {
                    bad.add(zone);
                } else if (random.nextInt(6) == 0) {
                    allowed.remove(zone);
                }
            });
            wishes.add(new Wish(
                    "s" + i,
                    20 * random.nextDouble(),
                    natural(random, zones, allowed),
                    bad,
                    allowed,
                    random.nextInt(10)));
        }
        double extra = random.nextInt(3) * 0.3;
        MoveCost cost = (station, zone, from, to) -> extra * Math.sqrt(Math.max(0, to - from));
        Plan plan = Solver.solve(wishes, holds::get, cost);
        for (String zone : ZONES.subList(0, zones)) {
            double planned = 0;
            double stood = 0;
            for (Wish wish : wishes) {
                double was = wish.natural().get(zone);
                double share = plan.shares().get(wish.station()).get(zone);
                planned += wish.perS() * (share + cost.extraWork(wish.station(), zone, was, share));
                stood += wish.perS() * was;
                boolean shunned = wish.bad().contains(zone) || !wish.allowed().contains(zone);
                check(!shunned || share <= was + 1e-9, "more to where it must not go");
                check(!wish.allowed().contains(zone) || share >= Math.min(was, Steering.FLOOR) - 1e-9, "no floor");
            }
            check(planned <= 1e-6 + Math.max(stood, holds.get(zone) * (1 + Solver.STRETCH)), zone + " overplanned");
        }
        for (Map<String, Double> shares : plan.shares().values()) {
            check(Math.abs(shares.values().stream().mapToDouble(s -> s).sum() - 1) < 1e-6, "not whole");
        }
    }

    /** With two data centres the order of penalties is the best there is: no cheaper one moves before a dearer one. */
    @Property(tries = 300, seed = "22")
    void whoStaysIsWhoCostsLeast(@ForAll long seed) {
        Random random = new Random(seed);
        List<Wish> wishes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            wishes.add(new Wish(
                    "s" + i,
                    1 + 20 * random.nextDouble(),
                    Map.of("x", 0.5, "y", 0.5),
                    Set.of("x"),
                    Set.of("x", "y"),
                    1 + random.nextInt(100)));
        }
        double hold = 60 * random.nextDouble();
        Plan plan = Solver.solve(wishes, zone -> hold, MoveCost.NONE);
        for (Wish dear : wishes) {
            for (Wish cheap : wishes) {
                boolean dearer = dear.atRisk() / dear.perS() > cheap.atRisk() / cheap.perS();
                boolean stays = plan.shares().get(dear.station()).get("x") > Steering.FLOOR + 1e-6;
                boolean moved = plan.shares().get(cheap.station()).get("x") < 0.5 - 1e-6;
                check(!(dearer && stays && moved), dear + " stays, " + cheap + " moved");
            }
        }
    }

    private static Map<String, Double> natural(Random random, int zones, Set<String> allowed) {
        Map<String, Double> natural = new TreeMap<>();
        ZONES.subList(0, zones)
                .forEach(zone -> natural.put(zone, allowed.contains(zone) ? 0.02 + random.nextDouble() : 0));
        double sum = natural.values().stream().mapToDouble(s -> s).sum();
        natural.replaceAll((zone, share) -> share / sum);
        return natural;
    }

    private static void check(boolean holds, String about) {
        if (!holds) {
            throw new AssertionError(about);
        }
    }
}
