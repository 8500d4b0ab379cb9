package peppergauge.lab.history;

import java.util.List;

/** All rules over one history. */
public final class Rules {

    /** One rule, or some that are about the same. */
    interface Rule {

        void check(History history, Bounds bounds, Verdict verdict);
    }

    private static final List<Rule> ALL = List.of(
            new Answers(),
            new Donations(),
            new OneAttempt(),
            new Leaving(),
            new Versions(),
            new Steps(),
            new Alive(),
            new Recovery());

    private Rules() {}

    /**
     * Whether nothing more is to be seen: all that went wrong is over, and service is as usual again or had its time.
     *
     * @param nowNs System.nanoTime
     */
    public static boolean isOver(History soFar, Bounds bounds, long nowNs) {
        return Recovery.isOver(soFar, bounds, nowNs);
    }

    /** Holds a whole run to them. */
    public static Verdict check(History history, Bounds bounds) {
        Verdict verdict = new Verdict(history.first(What.BEGIN).orElse(0L));
        ALL.forEach(rule -> rule.check(history, bounds, verdict));
        return verdict;
    }
}
