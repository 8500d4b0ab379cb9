package peppergauge.thrift.method;

import org.apache.thrift.TApplicationException;

/**
 * An error sent to a client in place of a reply, as a {@code TApplicationException}. Clients in every language know
 * these exception types; as several errors share a type, the first word of the text, which is fixed, identifies the
 * error.
 *
 * @param exceptionType a type of {@code TApplicationException}
 */
public record ErrorReply(int exceptionType, String text) {

    public static final ErrorReply UNKNOWN_METHOD =
            new ErrorReply(TApplicationException.UNKNOWN_METHOD, "unknown: no such method is served here");
    public static final ErrorReply NOT_A_CALL =
            new ErrorReply(TApplicationException.INVALID_MESSAGE_TYPE, "unusable: neither a call nor oneway");
    public static final ErrorReply FAILED =
            new ErrorReply(TApplicationException.INTERNAL_ERROR, "failed: it may have run");
    public static final ErrorReply TIMED_OUT =
            new ErrorReply(TApplicationException.INTERNAL_ERROR, "late: no answer in time, it may have run");
    public static final ErrorReply DUPLICATE_ID =
            new ErrorReply(TApplicationException.INTERNAL_ERROR, "duplicate: a session has this id");

    /** The call is malformed or has invalid attributes; it was not forwarded. */
    public static ErrorReply malformed(String reason) {
        return new ErrorReply(TApplicationException.PROTOCOL_ERROR, "unusable: " + reason);
    }

    /**
     * The call was rejected and not executed.
     *
     * @param retryAfterMs when the client may retry; 0 gives no advice
     */
    public static ErrorReply rejected(double retryAfterMs) {
        return new ErrorReply(
                TApplicationException.INTERNAL_ERROR,
                "denied: it did not run"
                        + (retryAfterMs > 0 ? ", come back in " + (long) Math.ceil(retryAfterMs) + " ms" : ""));
    }
}
