package peppergauge.thrift.wire;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/** The encoding of a message, without its framing. The two binary encodings differ only in the header. */
public enum Encoding {

    /** The binary protocol with the strict header, which has a version. */
    BINARY,
    /** The binary protocol with the old header, which begins with the length of the method name. */
    OLD_BINARY,
    /** The compact protocol. */
    COMPACT;

    private static final int UUID_BYTES = 16;

    /** Whether both encodings write the same bytes after the header. */
    public boolean hasSameBodyAs(Encoding other) {
        return (this == COMPACT) == (other == COMPACT);
    }

    /** The Thrift library's protocol; it may read only messages that a {@link MessageReader} has accepted. */
    TProtocol protocol(TTransport transport) {
        return this == COMPACT ? new CompactProtocol(transport) : new BinaryProtocol(transport, this == BINARY);
    }

    /**
     * Adds the size of a UUID: the library (0.22.0) reads and writes UUIDs, but cannot compute the minimum size of a
     * container that holds them.
     */
    private static final class CompactProtocol extends TCompactProtocol {

        CompactProtocol(TTransport transport) {
            super(transport);
        }

        @Override
        public int getMinSerializedSize(byte type) throws TTransportException {
            return type == TType.UUID ? UUID_BYTES : super.getMinSerializedSize(type);
        }
    }

    /** Adds the size of a UUID, as {@link CompactProtocol} does. */
    private static final class BinaryProtocol extends TBinaryProtocol {

        BinaryProtocol(TTransport transport, boolean strict) {
            super(transport, false, strict);
        }

        @Override
        public int getMinSerializedSize(byte type) throws TTransportException {
            return type == TType.UUID ? UUID_BYTES : super.getMinSerializedSize(type);
        }
    }
}
