package peppergauge.lab.history;

/** {@code process}: no process ends that nobody ended. */
final class Alive implements Rules.Rule {

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        history.of(What.LOST)
                .forEach(event -> verdict.broken("process", event.atNs(), event.who() + " ended: " + event.text()));
    }
}
