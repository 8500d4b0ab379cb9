package peppergauge.nomad.api;

/** A GET request in flight. Confined to the event loop's thread. */
public interface ApiCall {

    /** Ends the call and notifies its handler of the failure; does nothing if the call has ended. */
    void abort(String error);

    /** Ends the call without notifying its handler; does nothing if the call has ended. */
    void abandon();
}
