package peppergauge.thrift.wire;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TTransport;

/** How a message is written, apart from framing; the two binary ones differ in the head only. */
public enum Encoding {

    /** With the strict head, which names a version. */
    BINARY,
    /** With the old head, which begins with the length of the name. */
    OLD_BINARY,
    COMPACT;

    /** Whether what follows the head is the same bytes in both. */
    public boolean sameBody(Encoding other) {
        return (this == COMPACT) == (other == COMPACT);
    }

    /** The library's own; it must be given only bytes that a {@link MessageReader} has let pass. */
    TProtocol protocol(TTransport transport) {
        return this == COMPACT ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, false, this == BINARY);
    }
}
