package peppergauge.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * What a session is worth as a rank, 0 for the dearest: its class, whether it is a client's retry, and whether it
 * lies over its tenant's share. One rank for each worth that can occur, so no dearer session shares a rank with a
 * cheaper one (DAGOR's business priority, Zhou et al., SoCC 2018, section 4.2, there set by hand).
 */
final class RequestPriority {

    private final int[] priorities;
    private final int count;

    RequestPriority(List<Double> classWorths, double retryWorth, double overShareWorth) {
        List<Double> worths = new ArrayList<>();
        for (double worth : classWorths) {
            worths.add(worth);
            worths.add(worth * retryWorth);
            worths.add(worth * overShareWorth);
            worths.add(worth * retryWorth * overShareWorth);
        }
        List<Double> dearestFirst = new ArrayList<>(new TreeSet<>(worths).descendingSet());
        priorities = worths.stream().mapToInt(dearestFirst::indexOf).toArray();
        count = dearestFirst.size();
    }

    /** @throws IndexOutOfBoundsException if there is no such class */
    int of(int requestClass, boolean clientRetry, boolean overQuota) {
        return priorities[4 * requestClass + (clientRetry ? 1 : 0) + (overQuota ? 2 : 0)];
    }

    int count() {
        return count;
    }
}
