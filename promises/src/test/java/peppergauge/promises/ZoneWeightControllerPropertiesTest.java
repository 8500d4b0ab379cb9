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

/** Properties of the {@link CapacityAllocator} with random requests; tests run with its assertions enabled. */
class ZoneWeightControllerPropertiesTest {

    private static final List<String> ZONES = List.of("x", "y", "z", "w");

    @Property(tries = 500, seed = "21")
    void planStaysWithinAllowedZonesAndCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        int zones = 2 + random.nextInt(3);
        Map<String, Double> capacity = new HashMap<>();
        ZONES.subList(0, zones).forEach(zone -> capacity.put(zone, 60 * random.nextDouble()));
        List<AllocationRequest> requests = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(5); i++) {
            Set<String> unhealthy = new HashSet<>();
            Set<String> allowed = new HashSet<>(ZONES.subList(0, zones));
            ZONES.subList(1, zones).forEach(zone -> {
                if (random.nextInt(3) == 0) {
                    unhealthy.add(zone);
                } else if (random.nextInt(6) == 0) {
                    allowed.remove(zone);
                }
            });
            requests.add(new AllocationRequest(
                    "s" + i,
                    20 * random.nextDouble(),
                    natural(random, zones, allowed),
                    unhealthy,
                    allowed,
                    random.nextInt(10)));
        }
        double extra = random.nextInt(3) * 0.3;
        MigrationCost cost = (tenant, zone, from, to) -> extra * Math.sqrt(Math.max(0, to - from));
        Allocation plan = CapacityAllocator.allocate(requests, capacity::get, cost);
        for (String zone : ZONES.subList(0, zones)) {
            double planned = 0;
            double naturalLoad = 0;
            for (AllocationRequest request : requests) {
                double natural = request.naturalShares().get(zone);
                double share = plan.shares().get(request.tenant()).get(zone);
                double extraWork = cost.extraWork(request.tenant(), zone, natural, share);
                planned += request.requestsPerSecond() * (share + extraWork);
                naturalLoad += request.requestsPerSecond() * natural;
                boolean excluded = request.unhealthyZones().contains(zone)
                        || !request.allowedZones().contains(zone);
                check(
                        !excluded || share <= natural + 1e-9,
                        "expected no larger share of an unhealthy or disallowed zone " + zone);
                check(
                        !request.allowedZones().contains(zone)
                                || share >= Math.min(natural, ZoneWeights.MIN_WEIGHT) - 1e-9,
                        "expected at least the minimum weight in zone " + zone);
            }
            double maxPlanned = capacity.get(zone) * (1 + CapacityAllocator.CAPACITY_MARGIN);
            check(
                    planned <= 1e-6 + Math.max(naturalLoad, maxPlanned),
                    "expected the load of zone " + zone + " to stay within its capacity but was " + planned);
        }
        for (Map<String, Double> shares : plan.shares().values()) {
            check(
                    Math.abs(shares.values().stream()
                                            .mapToDouble(share -> share)
                                            .sum()
                                    - 1)
                            < 1e-6,
                    "expected shares that sum to 1 but was " + shares);
        }
    }

    /** With two zones, no tenant migrates while one with a greater penalty for each request stays. */
    @Property(tries = 300, seed = "22")
    void tenantsWithTheLowestPenaltyDensityStay(@ForAll long seed) {
        Random random = new Random(seed);
        List<AllocationRequest> requests = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            requests.add(new AllocationRequest(
                    "s" + i,
                    1 + 20 * random.nextDouble(),
                    Map.of("x", 0.5, "y", 0.5),
                    Set.of("x"),
                    Set.of("x", "y"),
                    1 + random.nextInt(100)));
        }
        double zoneCapacity = 60 * random.nextDouble();
        Allocation plan = CapacityAllocator.allocate(requests, zone -> zoneCapacity, MigrationCost.NONE);
        for (AllocationRequest costly : requests) {
            for (AllocationRequest cheap : requests) {
                boolean costlier = costly.penaltyAtRisk() / costly.requestsPerSecond()
                        > cheap.penaltyAtRisk() / cheap.requestsPerSecond();
                boolean stays = plan.shares().get(costly.tenant()).get("x") > ZoneWeights.MIN_WEIGHT + 1e-6;
                boolean migrated = plan.shares().get(cheap.tenant()).get("x") < 0.5 - 1e-6;
                check(!(costlier && stays && migrated), "expected " + costly + " to migrate before " + cheap);
            }
        }
    }

    private static Map<String, Double> natural(Random random, int zones, Set<String> allowed) {
        Map<String, Double> natural = new TreeMap<>();
        ZONES.subList(0, zones)
                .forEach(zone -> natural.put(zone, allowed.contains(zone) ? 0.02 + random.nextDouble() : 0));
        double sum = natural.values().stream().mapToDouble(share -> share).sum();
        natural.replaceAll((zone, share) -> share / sum);
        return natural;
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
