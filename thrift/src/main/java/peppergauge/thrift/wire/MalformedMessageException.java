package peppergauge.thrift.wire;

/**
 * Thrown for bytes that are not a valid message, or a message that exceeds the limits. The text may be sent to clients;
 * it contains numbers, but no text from the input.
 */
public final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String message) {
        // Without a stack trace, so that invalid input costs little CPU time.
        super(message, null, false, false);
    }
}
