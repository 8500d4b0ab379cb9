package peppergauge.request;

/** What frontends hand sessions to: the sessions themselves, or what an installation has put before them. */
public interface RequestHandler {

    /** A session has come in; exactly one of the frontend's methods is called for it, once. From any thread. */
    void handle(IncomingRequest opening, ResponseListener frontend);

    /** The client of the session that this frontend answers no longer waits; nothing more is owed. */
    void cancel(String id, ResponseListener frontend);
}
