package peppergauge.promises.allocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import peppergauge.promises.MigrationCost;
import peppergauge.promises.ZoneWeights;

/**
 * Allocates zone capacity to tenants by water-filling.
 *
 * <p>All tenants start at their natural shares. In the order of {@link AllocationRequest#penaltyDensity} each tenant
 * leaves its unhealthy zones down to {@link ZoneWeights#MIN_WEIGHT} and spreads over its healthy zones in proportion to
 * their free capacity. The capacity that it no longer uses is free for the tenants after it. When capacity is used up,
 * the tenants with the lowest density keep their natural shares.
 */
public final class CapacityAllocator {

    /** Share by which a zone may be planned beyond its estimated capacity, so that a higher capacity can be found. */
    public static final double CAPACITY_MARGIN = 0.05;

    private static final double EPSILON = 1e-9;
    private static final double SUM_TOLERANCE = 1e-6;
    private static final int BISECTIONS = 12;

    private final ToDoubleFunction<String> capacity;
    private final MigrationCost migrationCost;
    private final Map<String, Double> load = new TreeMap<>();
    private final Map<String, Double> naturalLoad = new TreeMap<>();

    private CapacityAllocator(ToDoubleFunction<String> capacity, MigrationCost migrationCost) {
        this.capacity = capacity;
        this.migrationCost = migrationCost;
    }

    /**
     * Returns the planned shares of all tenants.
     *
     * @param capacity estimated capacity of a zone, requests per second
     */
    public static Allocation allocate(
            List<AllocationRequest> requests, ToDoubleFunction<String> capacity, MigrationCost migrationCost) {
        CapacityAllocator allocator = new CapacityAllocator(capacity, migrationCost);
        requests.forEach(allocator::addNaturalLoad);
        List<AllocationRequest> order = new ArrayList<>(requests);
        order.sort(Comparator.comparingDouble(AllocationRequest::penaltyDensity)
                .reversed()
                .thenComparing(AllocationRequest::tenant));
        Map<String, Map<String, Double>> shares = new TreeMap<>();
        for (AllocationRequest request : order) {
            Map<String, Double> allocated = allocator.migrate(request);
            assert isValid(request, allocated) : "invalid shares " + allocated + " for " + request;
            shares.put(request.tenant(), allocated);
        }
        assert allocator.isWithinCapacity() : "planned load exceeds the capacity of a zone: " + allocator.load;
        return new Allocation(shares);
    }

    private void addNaturalLoad(AllocationRequest request) {
        request.naturalShares().forEach((zone, share) -> {
            load.merge(zone, share * request.requestsPerSecond(), Double::sum);
            naturalLoad.merge(zone, share * request.requestsPerSecond(), Double::sum);
        });
    }

    private double freeCapacity(String zone) {
        return Math.max(0, capacity.applyAsDouble(zone) * (1 + CAPACITY_MARGIN) - load.getOrDefault(zone, 0.0));
    }

    private Map<String, Double> migrate(AllocationRequest request) {
        Map<String, Double> shares = new TreeMap<>(request.naturalShares());
        Map<String, Double> freeShares = new TreeMap<>();
        request.naturalShares().keySet().stream()
                .filter(zone -> request.allowedZones().contains(zone)
                        && !request.unhealthyZones().contains(zone))
                .forEach(zone -> freeShares.put(zone, freeShare(request, zone)));
        double free = freeShares.values().stream().mapToDouble(each -> each).sum();
        double leaving = 0;
        for (Map.Entry<String, Double> each : shares.entrySet()) {
            leaving += freeShares.containsKey(each.getKey()) ? 0 : movableShare(each.getValue());
        }
        if (free <= EPSILON || leaving <= EPSILON) {
            return shares;
        }
        double fillRatio = leaving / free;
        double fraction = feasibleFraction(request, freeShares, fillRatio);
        assert fraction >= 0 && fraction <= 1
                : "expected a fraction from 0 to 1 but was " + fraction + " for " + request;
        shares.replaceAll((zone, share) -> freeShares.containsKey(zone)
                ? share + fillRatio * fraction * freeShares.get(zone)
                : share - fraction * movableShare(share));
        shares.forEach((zone, share) -> load.merge(
                zone, addedLoad(request, zone, share - request.naturalShares().get(zone)), Double::sum));
        return shares;
    }

    /** Returns the fraction of a migration that fits, including extra work on cold caches, found by bisection. */
    private double feasibleFraction(AllocationRequest request, Map<String, Double> freeShares, double fillRatio) {
        double feasible = 0;
        double upper = Math.min(1, 1 / fillRatio);
        double candidate = upper;
        for (int i = 0; i < BISECTIONS; i++) {
            double fraction = candidate;
            boolean all = freeShares.entrySet().stream()
                    .allMatch(zone -> addedLoad(request, zone.getKey(), fillRatio * fraction * zone.getValue())
                            <= zone.getValue() * request.requestsPerSecond() + EPSILON);
            if (all && fraction == upper) {
                return upper;
            }
            feasible = all ? fraction : feasible;
            upper = all ? upper : fraction;
            candidate = (feasible + upper) / 2;
        }
        return feasible;
    }

    /** Returns the load in requests per second that a larger share adds, extra work on cold caches included. */
    private double addedLoad(AllocationRequest request, String zone, double addedShare) {
        double from = request.naturalShares().get(zone);
        double extra = addedShare > 0 ? migrationCost.extraWork(request.tenant(), zone, from, from + addedShare) : 0;
        return request.requestsPerSecond() * (addedShare + extra);
    }

    /**
     * Returns the part of a share that may leave a zone. {@link ZoneWeights#MIN_WEIGHT} stays, so that
     * some requests always reach the zone and its recovery is observed.
     */
    private static double movableShare(double share) {
        return Math.max(0, share - ZoneWeights.MIN_WEIGHT);
    }

    /** Returns the share of its requests that a tenant may add in a zone. */
    private double freeShare(AllocationRequest request, String zone) {
        return freeCapacity(zone) / Math.max(request.requestsPerSecond(), EPSILON);
    }

    private static boolean isValid(AllocationRequest request, Map<String, Double> shares) {
        double sum = shares.values().stream().mapToDouble(each -> each).sum();
        return Math.abs(sum - 1) < SUM_TOLERANCE
                && shares.entrySet().stream().allMatch(each -> isValid(request, each.getKey(), each.getValue()));
    }

    private static boolean isValid(AllocationRequest request, String zone, double share) {
        double natural = request.naturalShares().get(zone);
        boolean usable = request.allowedZones().contains(zone)
                && !request.unhealthyZones().contains(zone);
        return share >= Math.min(ZoneWeights.MIN_WEIGHT, natural) - EPSILON && (usable || share <= natural + EPSILON);
    }

    /** Returns whether no zone is planned beyond its capacity, or beyond its natural load where that is higher. */
    private boolean isWithinCapacity() {
        return load.entrySet().stream()
                .allMatch(each -> each.getValue()
                        <= SUM_TOLERANCE
                                + Math.max(
                                        naturalLoad.getOrDefault(each.getKey(), 0.0),
                                        capacity.applyAsDouble(each.getKey()) * (1 + CAPACITY_MARGIN)));
    }
}
