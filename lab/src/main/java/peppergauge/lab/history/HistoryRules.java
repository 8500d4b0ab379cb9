package peppergauge.lab.history;

import java.util.List;

/** Checks all rules over one history. */
public final class HistoryRules {

    /** One rule over a whole history. */
    interface Rule {

        /** Adds to the verdict what was checked, what was excused and what was broken. */
        void check(History history, RuleLimits limits, Verdict verdict);
    }

    private static final List<Rule> ALL = List.of(
            new ResponseDeadlineRule(),
            new AtMostOnceRule(),
            new SingleAttemptRule(),
            new DrainRule(),
            new TableVersionRule(),
            new FactorStepRule(),
            new UnexpectedExitRule(),
            new RecoveryRule());

    private HistoryRules() {}

    /**
     * Returns whether the run can end: all faults are over, and service has recovered or had the time for it.
     *
     * @param nowNs System.nanoTime
     */
    public static boolean isOver(History soFar, RuleLimits limits, long nowNs) {
        return RecoveryRule.isOver(soFar, limits, nowNs);
    }

    /** Checks a whole run against all rules. */
    public static Verdict check(History history, RuleLimits limits) {
        Verdict verdict = new Verdict(history.first(EventKind.BEGIN).orElse(0L));
        ALL.forEach(rule -> rule.check(history, limits, verdict));
        return verdict;
    }
}
