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

    /** Called when a request has started; {@code last}: the client sends no request after it. */
    void onRequestStarted(boolean last) {
        started++;
        unanswered++;
        lastRequestStarted |= last;
    }

    /** Called when the head of a final response is written; {@code last}: it announces the close of the connection. */
    void onResponseStarted(boolean last) {
        unwritten++;
        lastResponseStarted |= last;
    }

    /** Called when the last byte of a response is written. */
    void onResponseWritten() {
        unwritten--;
        unanswered--;
    }

    /** Number of requests that have started. */
    int started() {
        return started;
    }

    /** Number of requests whose responses are not completely written, including the current request. */
    int unanswered() {
        return unanswered;
    }

    /** Whether a response has started that is not completely written. */
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
