package peppergauge.request;

import java.util.List;

/**
 * What a session asks or is answered, passed on unread: {@code verb} and {@code target} only when asked.
 *
 * @param body all of it; empty where there is a flow
 * @param flow the body of a message that does not hold it; else null
 */
public record Message(String method, String target, List<Field> fields, byte[] body, BodyStream stream) {

    private static final byte[] NOTHING = new byte[0];

    /** A named value beside the body. */
    public record Field(String name, String value) {}

    public Message {
        fields = List.copyOf(fields);
    }

    /** One that holds its body. */
    public Message(String verb, String target, List<Field> fields, byte[] body) {
        this(verb, target, fields, body, null);
    }

    /** The same with another body. */
    public Message with(BodyStream other) {
        return new Message(method, target, fields, NOTHING, other);
    }

    /** The same with other fields. */
    public Message with(List<Field> others) {
        return new Message(method, target, others, body, stream);
    }

    /** Bytes of its body, -1 where only its end tells. */
    public long length() {
        return stream == null ? body.length : stream.length();
    }
}
