package peppergauge.request;

import java.util.List;

/**
 * A request or a response, forwarded without being interpreted. Immutable.
 *
 * @param method the method of a request; null for a response
 * @param target the target of a request; null for a response
 * @param body the complete body; empty if it is streamed
 * @param stream the body if the message does not hold it, else null
 */
public record Message(String method, String target, List<Field> fields, byte[] body, BodyStream stream) {

    private static final byte[] EMPTY_BODY = new byte[0];

    /** A header field. */
    public record Field(String name, String value) {}

    public Message {
        fields = List.copyOf(fields);
    }

    /** A message that holds its body. */
    public Message(String method, String target, List<Field> fields, byte[] body) {
        this(method, target, fields, body, null);
    }

    /** The same message with a streamed body. */
    public Message with(BodyStream streamedBody) {
        return new Message(method, target, fields, EMPTY_BODY, streamedBody);
    }

    /** The same message with other fields. */
    public Message with(List<Field> otherFields) {
        return new Message(method, target, otherFields, body, stream);
    }

    /** The length of the body in bytes; -1 if unknown until the body ends. */
    public long length() {
        return stream == null ? body.length : stream.length();
    }
}
