package peppergauge.request;

/** The frontend's end of one session: exactly one answer is given, once. */
public interface ResponseListener {

    void onResponse(Message answer);

    /** Not served, and safe to try again; 0 gives no advice on when. */
    void onRejected(double retryAfterMs);

    /** Failed, with no word on whether it ran; {@code late} when time ran out. */
    void onFailed(boolean late);

    /**
     * Whether the client is still there, as far as a look can tell: what it has sent, or its end, may stand unread. On
     * the owner's thread.
     */
    default boolean isClientWaiting() {
        return true;
    }

    /** Another session has this id, or had it lately. */
    void onDuplicateId();
}
