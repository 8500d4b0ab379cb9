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

/** The same message in other bytes. What need not change is copied as it is, so that it passes whatever it is. */
public final class Rewriting {

    private static final TStruct STRUCT = new TStruct();

    private Rewriting() {}

    /** With another sequence id; all other bytes stay. */
    public static RawMessage sequence(RawMessage message, int sequence) {
        Head head = message.head();
        if (head.sequence() == sequence) {
            return message;
        }
        byte[] number = message.encoding() == Encoding.COMPACT
                ? varint(sequence)
                : new byte[] {(byte) (sequence >> 24), (byte) (sequence >> 16), (byte) (sequence >> 8), (byte) sequence
                };
        return RawMessage.of(
                message.encoding(), splice(message.bytes(), head.sequenceAt(), head.sequenceEnd(), number));
    }

    private static byte[] varint(int number) {
        byte[] bytes = new byte[5];
        int length = 0;
        for (int left = number; ; left >>>= 7) {
            if ((left & ~0x7f) == 0) {
                bytes[length++] = (byte) left;
                return Arrays.copyOf(bytes, length);
            }
            bytes[length++] = (byte) (left | 0x80);
        }
    }

    /**
     * With a whole number where {@code value} stands, in the type that is there and at most its largest.
     *
     * @param value of type I16, I32, I64 or DOUBLE, found in this very message; of any other the message stays as it is
     */
    public static RawMessage number(RawMessage message, Value value, long number) {
        TMemoryBuffer out = buffer(8);
        TProtocol protocol = message.encoding().protocol(out);
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
        } catch (TException impossible) {
            throw new IllegalStateException(impossible);
        }
        return new RawMessage(
                message.encoding(), message.head(), splice(message.bytes(), value.start(), value.end(), bytes(out)));
    }

    /** In another encoding, by its wire types alone. */
    public static RawMessage into(RawMessage message, Encoding encoding) {
        if (message.encoding() == encoding) {
            return message;
        }
        Head head = message.head();
        byte[] all = message.bytes();
        TMemoryBuffer out = buffer(all.length + 16);
        TProtocol to = encoding.protocol(out);
        try {
            to.writeMessageBegin(new TMessage(head.name(), head.type(), head.sequence()));
            if (encoding.sameBody(message.encoding())) {
                out.write(all, head.bodyAt(), all.length - head.bodyAt());
            } else {
                struct(message.encoding().protocol(Fields.in(message)), to);
            }
            to.writeMessageEnd();
        } catch (TException impossible) {
            throw new IllegalStateException("a message that was let pass cannot be read", impossible);
        }
        return RawMessage.of(encoding, bytes(out));
    }

    /** As it goes on a connection of this form, which must have the message's encoding. */
    public static byte[] framed(RawMessage message, Form form) {
        byte[] bytes = message.bytes();
        if (form.encoding() != message.encoding()) {
            throw new IllegalArgumentException(message.encoding() + " on a connection of " + form);
        }
        int length = bytes.length;
        return !form.framed()
                ? bytes
                : splice(bytes, 0, 0, new byte[] {
                    (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length
                });
    }

    private static byte[] splice(byte[] bytes, int start, int end, byte[] instead) {
        byte[] all = new byte[bytes.length - (end - start) + instead.length];
        System.arraycopy(bytes, 0, all, 0, start);
        System.arraycopy(instead, 0, all, start, instead.length);
        System.arraycopy(bytes, end, all, start + instead.length, bytes.length - end);
        return all;
    }

    private static TMemoryBuffer buffer(int size) {
        try {
            return new TMemoryBuffer(size);
        } catch (TException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static byte[] bytes(TMemoryBuffer out) {
        return Arrays.copyOf(out.getArray(), out.length());
    }

    // ---- The walk; as deep as the bounds let a message be ----

    private static void struct(TProtocol from, TProtocol to) throws TException {
        from.readStructBegin();
        to.writeStructBegin(STRUCT);
        for (TField field = from.readFieldBegin(); field.type != TType.STOP; field = from.readFieldBegin()) {
            to.writeFieldBegin(field);
            value(field.type, from, to);
            to.writeFieldEnd();
            from.readFieldEnd();
        }
        to.writeFieldStop();
        to.writeStructEnd();
        from.readStructEnd();
    }

    private static void value(byte type, TProtocol from, TProtocol to) throws TException {
        switch (type) {
            case TType.BOOL -> to.writeBool(from.readBool());
            case TType.BYTE -> to.writeByte(from.readByte());
            case TType.I16 -> to.writeI16(from.readI16());
            case TType.I32 -> to.writeI32(from.readI32());
            case TType.I64 -> to.writeI64(from.readI64());
            case TType.DOUBLE -> to.writeDouble(from.readDouble());
            case TType.UUID -> to.writeUuid(from.readUuid());
            // Not as text: what is no UTF-8 passes unchanged.
            case TType.STRING -> to.writeBinary(from.readBinary());
            case TType.STRUCT -> struct(from, to);
            case TType.MAP -> {
                TMap map = from.readMapBegin();
                to.writeMapBegin(map);
                for (int i = 0; i < map.size; i++) {
                    value(map.keyType, from, to);
                    value(map.valueType, from, to);
                }
            }
            case TType.SET -> {
                TSet set = from.readSetBegin();
                to.writeSetBegin(set);
                values(set.elemType, set.size, from, to);
            }
            case TType.LIST -> {
                TList list = from.readListBegin();
                to.writeListBegin(list);
                values(list.elemType, list.size, from, to);
            }
            default -> throw new TException("wire type " + type);
        }
    }

    private static void values(byte type, int count, TProtocol from, TProtocol to) throws TException {
        for (int i = 0; i < count; i++) {
            value(type, from, to);
        }
    }
}
