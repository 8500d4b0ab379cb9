package peppergauge.request;

/** The frontend's end of one request. Gets exactly one response, on the event-loop thread. */
public interface ResponseListener {

    /** The request was served. */
    void onResponse(Message response);

    /**
     * The request was rejected and not executed, so that the client may retry.
     *
     * @param retryAfterMs 0 gives no advice
     */
    void onRejected(double retryAfterMs);

    /** The request failed and may have been executed. */
    void onFailed(boolean timedOut);

    /**
     * Whether the client is still connected, as far as is known; its input may be waiting unread. Event-loop thread
     * only.
     */
    default boolean isClientWaiting() {
        return true;
    }

    /** Another request has, or a short time ago had, the same id. */
    void onDuplicateId();
}
