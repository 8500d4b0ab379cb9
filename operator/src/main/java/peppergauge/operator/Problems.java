package peppergauge.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects all errors of one file, so that an operator sees them at once. Not thread-safe. */
public final class Problems {

    private final List<Problem> problems = new ArrayList<>();

    /** @param key the dotted path of the key, or empty */
    public void add(SourceLocation location, String key, String message) {
        problems.add(new Problem(location, key, message));
    }

    void addMissing(SourceLocation location, String key, String allowed) {
        add(location, key, "is missing; it must be " + allowed);
    }

    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /** Returns the errors by line, then column. */
    public List<Problem> sorted() {
        return problems.stream()
                .sorted(Comparator.comparingInt(
                                (Problem problem) -> problem.location().line())
                        .thenComparingInt(problem -> problem.location().column()))
                .toList();
    }
}
