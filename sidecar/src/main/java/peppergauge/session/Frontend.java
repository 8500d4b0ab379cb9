package peppergauge.session;

/** The frontend's end of one session: exactly one of these is called, once. */
public interface Frontend {

    void served(Message answer);

    /** Not served, and safe to try again; 0 gives no advice on when. */
    void denied(double retryAfterMs);

    /** Failed, with no word on whether it ran; {@code late} when time ran out. */
    void failed(boolean late);

    /** Another session has this id, or had it lately. */
    void duplicate();
}
