package peppergauge.lab.history;

/** Rule {@code process}: a process must not exit unless the rig terminated it. */
final class UnexpectedExitRule implements HistoryRules.Rule {

    private static final String RULE = "process";

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        history.of(EventKind.LOST)
                .forEach(event ->
                        verdict.addBroken(RULE, event.atNs(), event.who() + " exited unexpectedly: " + event.text()));
    }
}
