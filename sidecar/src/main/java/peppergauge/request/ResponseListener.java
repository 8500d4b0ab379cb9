package peppergauge.request;

/** Receives the response to one request. Exactly one response is delivered, on the event-loop thread. */
public interface ResponseListener {

    /** The request was served. */
    void onResponse(Message response);

    /**
     * The request was rejected and not executed, so that the client may retry.
     *
     * @param retryAfterMs delay after which the client should retry; 0 for no advice
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

    /** The request was rejected because another one has, or recently had, the same id. */
    void onDuplicateId();
}
