package peppergauge.thrift.wire;

import java.util.Arrays;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;

/** Messages that no server made. */
public final class Exceptions {

    private Exceptions() {}

    /** The {@code TApplicationException} that answers a call; {@code type} is one of the library's. */
    public static RawMessage answering(Head call, Encoding encoding, int type, String text) {
        return message(
                encoding,
                new TMessage(call.name(), TMessageType.EXCEPTION, call.sequence()),
                new TApplicationException(type, text));
    }

    /** A call without arguments. */
    public static RawMessage call(Encoding encoding, String method) {
        return message(encoding, new TMessage(method, TMessageType.CALL, 0), null);
    }

    private static RawMessage message(Encoding encoding, TMessage head, TApplicationException body) {
        try {
            TMemoryBuffer out = new TMemoryBuffer(128);
            TProtocol protocol = encoding.protocol(out);
            protocol.writeMessageBegin(head);
            if (body == null) {
                protocol.writeFieldStop();
            } else {
                body.write(protocol);
            }
            protocol.writeMessageEnd();
            return RawMessage.of(encoding, Arrays.copyOf(out.getArray(), out.length()));
        } catch (TException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
