package peppergauge.thrift.wire;

import java.util.Arrays;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;

/** Creates the messages that the sidecar itself sends: exception replies to clients and load probes to servers. */
public final class MessageFactory {

    private static final int INITIAL_BUFFER_BYTES = 128;

    private MessageFactory() {}

    /**
     * Creates the exception reply to a call.
     *
     * @param exceptionType a type of {@code TApplicationException}
     */
    public static RawMessage exceptionReply(
            MessageHeader call, Encoding encoding, int exceptionType, String exceptionText) {
        return message(
                encoding,
                new TMessage(call.methodName(), TMessageType.EXCEPTION, call.sequenceId()),
                new TApplicationException(exceptionType, exceptionText));
    }

    /** Creates a call without arguments. */
    public static RawMessage callWithoutArguments(Encoding encoding, String methodName) {
        return message(encoding, new TMessage(methodName, TMessageType.CALL, 0), null);
    }

    private static RawMessage message(Encoding encoding, TMessage header, TApplicationException exception) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            TProtocol protocol = encoding.protocol(buffer);
            protocol.writeMessageBegin(header);
            if (exception == null) {
                protocol.writeFieldStop();
            } else {
                exception.write(protocol);
            }
            protocol.writeMessageEnd();
            return RawMessage.of(encoding, Arrays.copyOf(buffer.getArray(), buffer.length()));
        } catch (TException unexpected) {
            throw new IllegalStateException("cannot write a message to memory", unexpected);
        }
    }
}
