package peppergauge.frontend;

/**
 * Counts the requests of one connection and their responses, which are written in the order of the requests. Only the
 * event loop's thread uses it.
 */
final class PipelinedRequests {

    /** Requests of one connection whose responses may be pending; limits memory for clients that do not read. */
    static final int MAX_UNANSWERED = 16;
    /** A connection at the limit reads on when no more than this many are left. */
    private static final int FEW_UNANSWERED = MAX_UNANSWERED / 2;

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

    /** Whether there are as many unanswered requests as there may be. */
    boolean isFull() {
        return unanswered >= MAX_UNANSWERED;
    }

    /** Whether enough responses have been written for a connection at the limit to read on. */
    boolean hasRoom() {
        return unanswered <= FEW_UNANSWERED;
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
