package peppergauge.snapshot.storage;

/** Receives log events; {@code Log::event} is the implementation of a running sidecar. Must be thread-safe. */
@FunctionalInterface
public interface EventLog {

    /**
     * Logs an event.
     *
     * @param event name in snake case
     * @param fields names and values in turn
     */
    void event(String event, Object... fields);
}
