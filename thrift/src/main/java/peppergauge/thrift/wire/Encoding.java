package peppergauge.thrift.wire;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/** How a message is written, apart from framing; the two binary ones differ in the head only. */
public enum Encoding {

    /** With the strict head, which names a version. */
    BINARY,
    /** With the old head, which begins with the length of the name. */
    OLD_BINARY,
    COMPACT;

    private static final int UUID_BYTES = 16;

    /** Whether what follows the head is the same bytes in both. */
    public boolean sameBody(Encoding other) {
        return (this == COMPACT) == (other == COMPACT);
    }

    /** The library's own; it must be given only bytes that a {@link MessageReader} has let pass. */
    TProtocol protocol(TTransport transport) {
        return this == COMPACT ? new Compact(transport) : new Binary(transport, this == BINARY);
    }

    /** The library (0.22.0) reads and writes UUIDs, but does not know their size where a container holds them. */
    private static final class Compact extends TCompactProtocol {

        Compact(TTransport transport) {
            super(transport);
        }

        @Override
        public int getMinSerializedSize(byte type) throws TTransportException {
            return type == TType.UUID ? UUID_BYTES : super.getMinSerializedSize(type);
        }
    }

    private static final class Binary extends TBinaryProtocol {

        Binary(TTransport transport, boolean strict) {
            super(transport, false, strict);
        }

        @Override
        public int getMinSerializedSize(byte type) throws TTransportException {
            return type == TType.UUID ? UUID_BYTES : super.getMinSerializedSize(type);
        }
    }
}
