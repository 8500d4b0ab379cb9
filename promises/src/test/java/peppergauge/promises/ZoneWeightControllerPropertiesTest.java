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
import peppergauge.promises.allocation.Allocation;
import peppergauge.promises.allocation.AllocationRequest;
import peppergauge.promises.allocation.CapacityAllocator;

/** What holds whatever comes; the assertions in the code itself hold too, since tests run with them. */
class ZoneWeightControllerPropertiesTest {

    private static final List<String> ZONES = List.of("x", "y", "z", "w");

    @Property(tries = 500, seed = "21")
    void noPlanGoesBeyondContractsOrHoldsAndLossFollowsPenalties(@ForAll long seed) {
        Random random = new Random(seed);
        int zones = 2 + random.nextInt(3);
        Map<String, Double> holds = new HashMap<>();
        ZONES.subList(0, zones).forEach(zone -> holds.put(zone, 60 * random.nextDouble()));
        List<AllocationRequest> wishes = new ArrayList<>();
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
            wishes.add(new AllocationRequest(
                    "s" + i,
                    20 * random.nextDouble(),
                    natural(random, zones, allowed),
                    bad,
                    allowed,
                    random.nextInt(10)));
        }
        double extra = random.nextInt(3) * 0.3;
        MigrationCost cost = (station, zone, from, to) -> extra * Math.sqrt(Math.max(0, to - from));
        Allocation plan = CapacityAllocator.allocate(wishes, holds::get, cost);
        for (String zone : ZONES.subList(0, zones)) {
            double planned = 0;
            double stood = 0;
            for (AllocationRequest wish : wishes) {
                double was = wish.naturalShares().get(zone);
                double share = plan.shares().get(wish.tenant()).get(zone);
                planned += wish.requestsPerSecond() * (share + cost.extraWork(wish.tenant(), zone, was, share));
                stood += wish.requestsPerSecond() * was;
                boolean shunned = wish.unhealthyZones().contains(zone)
                        || !wish.allowedZones().contains(zone);
                check(!shunned || share <= was + 1e-9, "more to where it must not go");
                check(
                        !wish.allowedZones().contains(zone) || share >= Math.min(was, ZoneWeights.MIN_WEIGHT) - 1e-9,
                        "no floor");
            }
            check(
                    planned <= 1e-6 + Math.max(stood, holds.get(zone) * (1 + CapacityAllocator.CAPACITY_MARGIN)),
                    zone + " overplanned");
        }
        for (Map<String, Double> shares : plan.shares().values()) {
            check(Math.abs(shares.values().stream().mapToDouble(s -> s).sum() - 1) < 1e-6, "not whole");
        }
    }

    /** With two data centres the order of penalties is the best there is: no cheaper one moves before a dearer one. */
    @Property(tries = 300, seed = "22")
    void whoStaysIsWhoCostsLeast(@ForAll long seed) {
        Random random = new Random(seed);
        List<AllocationRequest> wishes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            wishes.add(new AllocationRequest(
                    "s" + i,
                    1 + 20 * random.nextDouble(),
                    Map.of("x", 0.5, "y", 0.5),
                    Set.of("x"),
                    Set.of("x", "y"),
                    1 + random.nextInt(100)));
        }
        double hold = 60 * random.nextDouble();
        Allocation plan = CapacityAllocator.allocate(wishes, zone -> hold, MigrationCost.NONE);
        for (AllocationRequest dear : wishes) {
            for (AllocationRequest cheap : wishes) {
                boolean dearer = dear.penaltyAtRisk() / dear.requestsPerSecond()
                        > cheap.penaltyAtRisk() / cheap.requestsPerSecond();
                boolean stays = plan.shares().get(dear.tenant()).get("x") > ZoneWeights.MIN_WEIGHT + 1e-6;
                boolean moved = plan.shares().get(cheap.tenant()).get("x") < 0.5 - 1e-6;
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
