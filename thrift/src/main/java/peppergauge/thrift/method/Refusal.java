package peppergauge.thrift.method;

import org.apache.thrift.TApplicationException;

/**
 * What a client hears instead of a reply: a {@code TApplicationException} of a fixed type, whose text begins with a
 * fixed word. The types are Apache's, which clients of every language know; the word tells apart what they do not.
 *
 * @param type one of the library's
 */
public record Refusal(int type, String text) {

    public static final Refusal UNKNOWN_METHOD =
            new Refusal(TApplicationException.UNKNOWN_METHOD, "unknown: no such method is served here");
    public static final Refusal NO_CALL =
            new Refusal(TApplicationException.INVALID_MESSAGE_TYPE, "unusable: neither a call nor oneway");
    public static final Refusal FAILED = new Refusal(TApplicationException.INTERNAL_ERROR, "failed: it may have run");
    public static final Refusal LATE =
            new Refusal(TApplicationException.INTERNAL_ERROR, "late: no answer in time, it may have run");
    public static final Refusal DUPLICATE =
            new Refusal(TApplicationException.INTERNAL_ERROR, "duplicate: a session has this id");

    /** Bytes or arguments that cannot be used; nothing was passed on. */
    public static Refusal unusable(String why) {
        return new Refusal(TApplicationException.PROTOCOL_ERROR, "unusable: " + why);
    }

    /** Nothing ran; {@code retryAfterMs}: when to come back, 0 for no advice. */
    public static Refusal denied(double retryAfterMs) {
        return new Refusal(
                TApplicationException.INTERNAL_ERROR,
                "denied: it did not run"
                        + (retryAfterMs > 0 ? ", come back in " + (long) Math.ceil(retryAfterMs) + " ms" : ""));
    }
}
