package peppergauge.plugin.rules;

/** What happens to a request when a plug-in fails: OPEN continues without it, CLOSED denies the request. */
public enum OnFailure {
    OPEN,
    CLOSED
}
