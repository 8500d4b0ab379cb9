package peppergauge.thrift.method;

import java.util.List;
import peppergauge.request.Message;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.RawMessage;

/** Messages as sessions carry them, unread: the body is the message, and a field says how it is written. */
public final class Carried {

    private static final String VERB = "THRIFT";
    private static final String ENCODING = "thrift-encoding";
    private static final byte ONEWAY = 4;

    private Carried() {}

    /** A call; {@code key}: what it concerns, may be empty. */
    public static Message call(RawMessage call, String key) {
        String method = call.head().name();
        return new Message(VERB, key.isEmpty() ? method : method + "/" + key, fields(call), call.bytes());
    }

    public static Message reply(RawMessage reply) {
        return new Message(null, null, fields(reply), reply.bytes());
    }

    /** To a oneway call: nothing. */
    public static Message nothing() {
        return new Message(null, null, List.of(), new byte[0]);
    }

    /** Whether a session asks this of a Thrift server. */
    public static boolean isCall(Message message) {
        return VERB.equals(message.method());
    }

    /** @throws IllegalArgumentException if the message is none of these */
    public static RawMessage raw(Message message) {
        return message.fields().stream()
                .filter(field -> field.name().equals(ENCODING))
                .findFirst()
                .map(field -> RawMessage.of(Encoding.valueOf(field.value()), message.body()))
                .orElseThrow(() -> new IllegalArgumentException("no Thrift message"));
    }

    public static boolean isOneway(RawMessage call) {
        return call.head().type() == ONEWAY;
    }

    private static List<Message.Field> fields(RawMessage message) {
        return List.of(new Message.Field(ENCODING, message.encoding().name()));
    }
}
