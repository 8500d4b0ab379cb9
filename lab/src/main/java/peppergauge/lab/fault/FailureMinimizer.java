package peppergauge.lab.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/** Reduces a failing script to the parts that its failure needs, by running it without some of them. */
public final class FailureMinimizer {

    /** Faults shorter than this are not halved. */
    private static final Duration MIN_HALVED_DURATION = Duration.ofMillis(400);

    private FailureMinimizer() {}

    /**
     * Returns the elements that the failure needs. Makes one pass from the last element to the first, since later
     * elements tend to follow from earlier ones.
     *
     * @param fails whether the remaining elements still fail; its second argument is the element that was left out last
     */
    public static <T> List<T> of(List<T> all, BiPredicate<List<T>, T> fails) {
        List<T> kept = new ArrayList<>(all);
        for (int i = all.size() - 1; i >= 0; i--) {
            List<T> rest = new ArrayList<>(kept);
            T removed = rest.remove(i);
            if (fails.test(rest, removed)) {
                kept = rest;
            }
        }
        return kept;
    }

    /**
     * Returns the fewest and shortest faults found that still fail. Halves of the list are tried first, since each
     * trial may take half a minute and most faults of a schedule have nothing to do with its failure.
     *
     * @param fails whether these faults still fail in the same way
     */
    public static List<ScheduledFault> faults(List<ScheduledFault> all, Predicate<List<ScheduledFault>> fails) {
        List<ScheduledFault> kept = all;
        for (List<ScheduledFault> before = null; !kept.equals(before); ) {
            before = kept;
            kept = halveDurations(of(bisect(kept, fails), (rest, removed) -> fails.test(rest)), fails);
        }
        return kept;
    }

    private static List<ScheduledFault> bisect(List<ScheduledFault> all, Predicate<List<ScheduledFault>> fails) {
        List<ScheduledFault> kept = all;
        while (kept.size() > 1) {
            List<ScheduledFault> first = kept.subList(0, kept.size() / 2);
            List<ScheduledFault> second = kept.subList(kept.size() / 2, kept.size());
            if (fails.test(first)) {
                kept = first;
            } else if (fails.test(second)) {
                kept = second;
            } else {
                break;
            }
        }
        return kept;
    }

    private static List<ScheduledFault> halveDurations(
            List<ScheduledFault> all, Predicate<List<ScheduledFault>> fails) {
        List<ScheduledFault> kept = all;
        for (int i = 0; i < all.size(); i++) {
            if (kept.get(i).length().compareTo(MIN_HALVED_DURATION) >= 0) {
                List<ScheduledFault> other = new ArrayList<>(kept);
                other.set(i, kept.get(i).withLength(kept.get(i).length().dividedBy(2)));
                kept = fails.test(other) ? other : kept;
            }
        }
        return kept;
    }
}
