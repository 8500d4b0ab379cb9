package peppergauge.lab.history;

/** Rule {@code process}: a process must not exit unless the rig terminated it. */
final class UnexpectedExitRule implements Rules.Rule {

    private static final String RULE = "process";

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        history.of(What.LOST)
                .forEach(event -> verdict.addBroken(
                        RULE, event.atNs(), event.who() + " exited unexpectedly: " + event.text()));
    }
}
