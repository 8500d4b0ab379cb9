package peppergauge.frontend;

/**
 * Counts the requests of one connection and their responses, which are written in the order of the requests. Only the
 * event loop's thread uses it.
 */
final class PipelinedRequests {

    private int started;
    private int unanswered;
    private int unwritten;
    private boolean lastRequestStarted;
    private boolean lastResponseStarted;

    /** A request has begun; {@code last}: its client sends none after it. */
    void onRequestStarted(boolean last) {
        started++;
        unanswered++;
        lastRequestStarted |= last;
    }

    /** The head of a final response is written; {@code last}: it says that the connection closes after it. */
    void onResponseStarted(boolean last) {
        unwritten++;
        lastResponseStarted |= last;
    }

    /** The last byte of a response is written. */
    void onResponseWritten() {
        unwritten--;
        unanswered--;
    }

    /** Number of requests that have begun. */
    int started() {
        return started;
    }

    /** Number of requests whose responses are not completely written, including the present one. */
    int unanswered() {
        return unanswered;
    }

    /** Whether a response has begun that is not completely written. */
    boolean hasUnwrittenResponses() {
        return unwritten > 0;
    }

    /** Whether the client has announced that no request follows. */
    boolean isLastRequestStarted() {
        return lastRequestStarted;
    }

    /** Whether the head of the connection's last response is written. */
    boolean isLastResponseStarted() {
        return lastResponseStarted;
    }
}
