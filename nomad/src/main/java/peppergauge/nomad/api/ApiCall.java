package peppergauge.nomad.api;

/** A GET in flight. Confined to the event loop's thread. */
public interface ApiCall {

    /** Ends the call, unless it has ended, and notifies its handler of the failure. */
    void abort(String error);

    /** Ends the call without notifying its handler. */
    void abandon();
}
