package peppergauge.thrift.wire;

import java.util.Arrays;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;

/** Rewrites messages. Bytes that need no change are copied, so that any content is passed on as received. */
public final class MessageRewriter {

    private static final TStruct ANONYMOUS_STRUCT = new TStruct();
    private static final int MAX_VARINT32_BYTES = 5;
    private static final int MAX_NUMBER_BYTES = 8;
    /** Room for a header that is longer in the other encoding. */
    private static final int EXTRA_BUFFER_BYTES = 16;

    private MessageRewriter() {}

    /** Replaces the sequence id; all other bytes stay the same. */
    public static RawMessage withSequenceId(RawMessage message, int sequenceId) {
        MessageHeader header = message.header();
        if (header.sequenceId() == sequenceId) {
            return message;
        }
        byte[] encoded = message.encoding() == Encoding.COMPACT ? varint(sequenceId) : bigEndian(sequenceId);
        return RawMessage.of(
                message.encoding(),
                replace(message.bytes(), header.sequenceIdStart(), header.sequenceIdEnd(), encoded));
    }

    private static byte[] varint(int number) {
        byte[] bytes = new byte[MAX_VARINT32_BYTES];
        int length = 0;
        for (int rest = number; ; rest >>>= 7) {
            if ((rest & ~0x7f) == 0) {
                bytes[length++] = (byte) rest;
                return Arrays.copyOf(bytes, length);
            }
            bytes[length++] = (byte) (rest | 0x80);
        }
    }

    private static byte[] bigEndian(int number) {
        return new byte[] {(byte) (number >> 24), (byte) (number >> 16), (byte) (number >> 8), (byte) number};
    }

    /**
     * Replaces a number by an integer, or by the largest one that the type of the field holds.
     *
     * @param value of this message; unless it is an I16, I32, I64 or DOUBLE, the message is returned unchanged
     */
    public static RawMessage withNumber(RawMessage message, FieldValue value, long number) {
        TMemoryBuffer buffer = newBuffer(MAX_NUMBER_BYTES);
        TProtocol protocol = message.encoding().protocol(buffer);
        try {
            switch (value.type()) {
                case TType.I16 -> protocol.writeI16((short) Math.min(number, Short.MAX_VALUE));
                case TType.I32 -> protocol.writeI32((int) Math.min(number, Integer.MAX_VALUE));
                case TType.I64 -> protocol.writeI64(number);
                case TType.DOUBLE -> protocol.writeDouble(number);
                default -> {
                    return message;
                }
            }
        } catch (TException unexpected) {
            throw new IllegalStateException("cannot write a number to memory", unexpected);
        }
        return new RawMessage(
                message.encoding(),
                message.header(),
                replace(message.bytes(), value.start(), value.end(), contents(buffer)));
    }

    /** Converts a message to another encoding by its wire types, without the definitions of its structs. */
    public static RawMessage transcode(RawMessage message, Encoding encoding) {
        if (message.encoding() == encoding) {
            return message;
        }
        MessageHeader header = message.header();
        byte[] bytes = message.bytes();
        TMemoryBuffer buffer = newBuffer(bytes.length + EXTRA_BUFFER_BYTES);
        TProtocol target = encoding.protocol(buffer);
        try {
            target.writeMessageBegin(new TMessage(header.methodName(), header.messageType(), header.sequenceId()));
            if (encoding.hasSameBodyAs(message.encoding())) {
                buffer.write(bytes, header.bodyStart(), bytes.length - header.bodyStart());
            } else {
                copyStruct(message.encoding().protocol(FieldReader.bodyTransport(message)), target);
            }
            target.writeMessageEnd();
        } catch (TException unexpected) {
            throw new IllegalStateException(
                    "cannot convert an accepted message from " + message.encoding() + " to " + encoding, unexpected);
        }
        return RawMessage.of(encoding, contents(buffer));
    }

    /**
     * The bytes of a message on a connection of this format, with the frame header if there is one.
     *
     * @throws IllegalArgumentException if the format has another encoding than the message
     */
    public static byte[] frame(RawMessage message, WireFormat format) {
        byte[] bytes = message.bytes();
        if (format.encoding() != message.encoding()) {
            throw new IllegalArgumentException(
                    "message has encoding " + message.encoding() + "; expected the encoding of " + format);
        }
        return format.framed() ? replace(bytes, 0, 0, bigEndian(bytes.length)) : bytes;
    }

    /** A copy in which the bytes from {@code start} to before {@code end} are replaced. */
    private static byte[] replace(byte[] bytes, int start, int end, byte[] replacement) {
        byte[] result = new byte[bytes.length - (end - start) + replacement.length];
        System.arraycopy(bytes, 0, result, 0, start);
        System.arraycopy(replacement, 0, result, start, replacement.length);
        System.arraycopy(bytes, end, result, start + replacement.length, bytes.length - end);
        return result;
    }

    private static TMemoryBuffer newBuffer(int size) {
        try {
            return new TMemoryBuffer(size);
        } catch (TException unexpected) {
            throw new IllegalStateException("cannot create a buffer of " + size + " bytes", unexpected);
        }
    }

    private static byte[] contents(TMemoryBuffer buffer) {
        return Arrays.copyOf(buffer.getArray(), buffer.length());
    }

    // ---- Conversion; the recursion is bounded by MessageLimits.maxDepth ----

    private static void copyStruct(TProtocol source, TProtocol target) throws TException {
        source.readStructBegin();
        target.writeStructBegin(ANONYMOUS_STRUCT);
        for (TField field = source.readFieldBegin(); field.type != TType.STOP; field = source.readFieldBegin()) {
            target.writeFieldBegin(field);
            copyValue(field.type, source, target);
            target.writeFieldEnd();
            source.readFieldEnd();
        }
        target.writeFieldStop();
        target.writeStructEnd();
        source.readStructEnd();
    }

    private static void copyValue(byte type, TProtocol source, TProtocol target) throws TException {
        switch (type) {
            case TType.BOOL -> target.writeBool(source.readBool());
            case TType.BYTE -> target.writeByte(source.readByte());
            case TType.I16 -> target.writeI16(source.readI16());
            case TType.I32 -> target.writeI32(source.readI32());
            case TType.I64 -> target.writeI64(source.readI64());
            case TType.DOUBLE -> target.writeDouble(source.readDouble());
            case TType.UUID -> target.writeUuid(source.readUuid());
            // As bytes, since a string that is not UTF-8 has to stay the same.
            case TType.STRING -> target.writeBinary(source.readBinary());
            case TType.STRUCT -> copyStruct(source, target);
            case TType.MAP -> {
                TMap map = source.readMapBegin();
                target.writeMapBegin(map);
                for (int i = 0; i < map.size; i++) {
                    copyValue(map.keyType, source, target);
                    copyValue(map.valueType, source, target);
                }
            }
            case TType.SET -> {
                TSet set = source.readSetBegin();
                target.writeSetBegin(set);
                copyElements(set.elemType, set.size, source, target);
            }
            case TType.LIST -> {
                TList list = source.readListBegin();
                target.writeListBegin(list);
                copyElements(list.elemType, list.size, source, target);
            }
            default -> throw new TException("unknown wire type " + type);
        }
    }

    private static void copyElements(byte type, int count, TProtocol source, TProtocol target) throws TException {
        for (int i = 0; i < count; i++) {
            copyValue(type, source, target);
        }
    }
}
