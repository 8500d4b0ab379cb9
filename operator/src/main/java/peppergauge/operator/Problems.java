package peppergauge.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects all problems of one file, so that an operator is not sent through it one error at a time. */
public final class Problems {

    private final List<Problem> all = new ArrayList<>();

    /** @param key the dotted path, or empty */
    public void add(Place place, String key, String message) {
        all.add(new Problem(place, key, message));
    }

    public boolean isEmpty() {
        return all.isEmpty();
    }

    /** In the order of the file. */
    public List<Problem> sorted() {
        return all.stream()
                .sorted(Comparator.comparingInt(
                                (Problem problem) -> problem.place().line())
                        .thenComparingInt(problem -> problem.place().column()))
                .toList();
    }
}
