package peppergauge.thrift.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.apache.thrift.protocol.TMessageType;

/**
 * The header of a message, which precedes the struct of arguments or results.
 *
 * @param messageType a type of {@code TMessageType}, 1 to 4
 * @param sequenceIdStart offset of the sequence id in the message
 * @param sequenceIdEnd offset after the sequence id
 * @param bodyStart offset of the struct
 */
public record MessageHeader(
        String methodName, byte messageType, int sequenceId, int sequenceIdStart, int sequenceIdEnd, int bodyStart) {

    static final int STRICT_BINARY_FIRST_BYTE = 0x80;
    static final int COMPACT_PROTOCOL_ID = 0x82;

    private static final int BINARY_VERSION_MASK = 0xffff0000;
    private static final int BINARY_VERSION_1 = 0x80010000;
    private static final int COMPACT_VERSION_MASK = 0x1f;
    private static final int COMPACT_VERSION = 1;
    private static final int COMPACT_TYPE_SHIFT = 5;

    /** Returns null if more bytes are needed. */
    static MessageHeader read(Encoding encoding, MessageView view) throws MalformedMessageException {
        return switch (encoding) {
            case BINARY -> readStrictBinary(view);
            case OLD_BINARY -> readOldBinary(view);
            case COMPACT -> readCompact(view);
        };
    }

    /** The version and the type in 4 bytes, the length of the name in 4, the name, the sequence id in 4. */
    private static MessageHeader readStrictBinary(MessageView view) throws MalformedMessageException {
        if (view.hasBytes(1) && view.byteAt(0) != STRICT_BINARY_FIRST_BYTE) {
            throw new MalformedMessageException("first byte of the header is " + view.byteAt(0) + "; expected "
                    + STRICT_BINARY_FIRST_BYTE + " of strict binary");
        }
        if (!view.hasBytes(8)) {
            return null;
        }
        int version = view.int32At(0);
        if ((version & BINARY_VERSION_MASK) != BINARY_VERSION_1) {
            throw new MalformedMessageException("binary version is 0x" + Integer.toHexString(version >>> 16)
                    + "; expected 0x" + Integer.toHexString(BINARY_VERSION_1 >>> 16));
        }
        int nameLength = checkedNameLength(view.int32At(4));
        int sequenceIdStart = 8 + nameLength;
        int bodyStart = sequenceIdStart + 4;
        return !view.hasBytes(bodyStart)
                ? null
                : create(
                        view,
                        8,
                        nameLength,
                        (byte) version,
                        view.int32At(sequenceIdStart),
                        sequenceIdStart,
                        bodyStart,
                        bodyStart);
    }

    /** The length of the name in 4 bytes, the name, the type in 1, the sequence id in 4. */
    private static MessageHeader readOldBinary(MessageView view) throws MalformedMessageException {
        if (!view.hasBytes(4)) {
            return null;
        }
        int nameLength = checkedNameLength(view.int32At(0));
        int sequenceIdStart = 5 + nameLength;
        int bodyStart = sequenceIdStart + 4;
        return !view.hasBytes(bodyStart)
                ? null
                : create(
                        view,
                        4,
                        nameLength,
                        (byte) view.byteAt(4 + nameLength),
                        view.int32At(sequenceIdStart),
                        sequenceIdStart,
                        bodyStart,
                        bodyStart);
    }

    /** The protocol id, the type and the version in 1 byte, then varints of the sequence id and the name's length. */
    private static MessageHeader readCompact(MessageView view) throws MalformedMessageException {
        if (view.hasBytes(1) && view.byteAt(0) != COMPACT_PROTOCOL_ID) {
            throw new MalformedMessageException("first byte of the header is " + view.byteAt(0) + "; expected "
                    + COMPACT_PROTOCOL_ID + " of compact");
        }
        if (!view.hasBytes(2)) {
            return null;
        }
        int version = view.byteAt(1) & COMPACT_VERSION_MASK;
        if (version != COMPACT_VERSION) {
            throw new MalformedMessageException("compact version is " + version + "; expected " + COMPACT_VERSION);
        }
        int sequenceIdBytes = view.readVarint(2, 32);
        int sequenceId = (int) view.varintValue();
        int sequenceIdEnd = 2 + sequenceIdBytes;
        int nameLengthBytes = sequenceIdBytes == 0 ? 0 : view.readVarint(sequenceIdEnd, 32);
        if (nameLengthBytes == 0) {
            return null;
        }
        int nameLength = checkedNameLength((int) view.varintValue());
        int nameStart = sequenceIdEnd + nameLengthBytes;
        int bodyStart = nameStart + nameLength;
        return !view.hasBytes(bodyStart)
                ? null
                : create(
                        view,
                        nameStart,
                        nameLength,
                        (byte) (view.byteAt(1) >> COMPACT_TYPE_SHIFT),
                        sequenceId,
                        2,
                        sequenceIdEnd,
                        bodyStart);
    }

    private static int checkedNameLength(int length) throws MalformedMessageException {
        if (length < 0 || length > MessageLimits.MAX_METHOD_NAME_BYTES) {
            throw new MalformedMessageException(
                    "method name has " + length + " bytes; expected 0 to " + MessageLimits.MAX_METHOD_NAME_BYTES);
        }
        return length;
    }

    private static MessageHeader create(
            MessageView view,
            int nameStart,
            int nameLength,
            byte messageType,
            int sequenceId,
            int sequenceIdStart,
            int sequenceIdEnd,
            int bodyStart)
            throws MalformedMessageException {
        if (messageType < TMessageType.CALL || messageType > TMessageType.ONEWAY) {
            throw new MalformedMessageException("message type is " + (messageType & 0xff) + "; expected "
                    + TMessageType.CALL + " to " + TMessageType.ONEWAY);
        }
        try {
            String methodName = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(view.array(), view.start() + nameStart, nameLength))
                    .toString();
            return new MessageHeader(methodName, messageType, sequenceId, sequenceIdStart, sequenceIdEnd, bodyStart);
        } catch (CharacterCodingException notUtf8) {
            throw new MalformedMessageException("method name is not UTF-8");
        }
    }
}
