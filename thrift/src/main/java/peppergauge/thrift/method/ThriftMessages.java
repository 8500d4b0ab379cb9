package peppergauge.thrift.method;

import java.util.List;
import org.apache.thrift.protocol.TMessageType;
import peppergauge.request.Message;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.RawMessage;

/**
 * Converts Thrift messages to the messages that the sidecar forwards, and back. The body is the unchanged Thrift
 * message; a header field names its encoding.
 */
public final class ThriftMessages {

    private static final String CALL_VERB = "THRIFT";
    private static final String ENCODING_FIELD = "thrift-encoding";

    private ThriftMessages() {}

    /** @param key what the call concerns, may be empty */
    public static Message ofCall(RawMessage call, String key) {
        String methodName = call.header().methodName();
        return new Message(
                CALL_VERB, key.isEmpty() ? methodName : methodName + "/" + key, encodingField(call), call.bytes());
    }

    public static Message ofReply(RawMessage reply) {
        return new Message(null, null, encodingField(reply), reply.bytes());
    }

    /** The response to a oneway call, which has no reply. */
    public static Message emptyResponse() {
        return new Message(null, null, List.of(), new byte[0]);
    }

    /** Whether the request is a Thrift call. */
    public static boolean isThriftCall(Message request) {
        return CALL_VERB.equals(request.method());
    }

    /** @throws IllegalArgumentException if the message is no converted Thrift message */
    public static RawMessage toThrift(Message message) {
        return message.fields().stream()
                .filter(field -> field.name().equals(ENCODING_FIELD))
                .findFirst()
                .map(field -> RawMessage.of(Encoding.valueOf(field.value()), message.body()))
                .orElseThrow(() -> new IllegalArgumentException("message has no field " + ENCODING_FIELD));
    }

    public static boolean isOneway(RawMessage call) {
        return call.header().messageType() == TMessageType.ONEWAY;
    }

    private static List<Message.Field> encodingField(RawMessage message) {
        return List.of(new Message.Field(ENCODING_FIELD, message.encoding().name()));
    }
}
