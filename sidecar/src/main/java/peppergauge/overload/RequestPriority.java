package peppergauge.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Maps requests to priorities by the weight of their class, whether they are a client's retry, and whether their tenant
 * exceeds its quota. Each distinct weight is a priority of its own, 0 for the highest weight. Immutable.
 */
final class RequestPriority {

    private final int[] priorities;
    private final int count;

    RequestPriority(List<Double> classWeights, double retryWeight, double overQuotaWeight) {
        List<Double> weights = new ArrayList<>();
        for (double weight : classWeights) {
            weights.add(weight);
            weights.add(weight * retryWeight);
            weights.add(weight * overQuotaWeight);
            weights.add(weight * retryWeight * overQuotaWeight);
        }
        List<Double> highestFirst = new ArrayList<>(new TreeSet<>(weights).descendingSet());
        priorities = weights.stream().mapToInt(highestFirst::indexOf).toArray();
        count = highestFirst.size();
    }

    /**
     * The priority of a request.
     *
     * @throws IndexOutOfBoundsException if there is no class with this index
     */
    int of(int requestClass, boolean clientRetry, boolean overQuota) {
        return priorities[4 * requestClass + (clientRetry ? 1 : 0) + (overQuota ? 2 : 0)];
    }

    /** The number of priorities. */
    int count() {
        return count;
    }
}
