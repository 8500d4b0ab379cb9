package peppergauge.session;

/** What frontends hand sessions to: the sessions themselves, or what an installation has put before them. */
public interface Intake {

    /** A session has come in; exactly one of the frontend's methods is called for it, once. From any thread. */
    void open(Opening opening, Frontend frontend);

    /** The client of the session that this frontend answers no longer waits; nothing more is owed. */
    void left(String id, Frontend frontend);
}
