package peppergauge.plugin.rules;

/** What becomes of a session when its plug-in fails: on as if there were none, or denied. */
public enum OnFailure {
    OPEN,
    CLOSED
}
