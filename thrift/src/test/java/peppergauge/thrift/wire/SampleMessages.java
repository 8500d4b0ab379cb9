package peppergauge.thrift.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;

/** Messages written by Apache's library, and a reader of byte sequences. */
final class SampleMessages {

    static final MessageLimits LIMITS = new MessageLimits(64 * 1024, 32);
    /** Values at a greater depth contain no other values. */
    private static final int MAX_NESTING = 5;
    /** The number of types at the beginning of {@link #TYPES} that contain no other values. */
    private static final int UNNESTED_TYPES = 8;

    private static final byte[] TYPES = {
        TType.BOOL,
        TType.BYTE,
        TType.I16,
        TType.I32,
        TType.I64,
        TType.DOUBLE,
        TType.STRING,
        TType.UUID,
        TType.STRUCT,
        TType.MAP,
        TType.SET,
        TType.LIST
    };

    /** Writes the fields of a message's struct. */
    interface BodyWriter {
        void write(TProtocol out) throws TException;
    }

    private SampleMessages() {}

    static RawMessage message(Encoding encoding, String name, int sequenceId, BodyWriter body) {
        try {
            TMemoryBuffer out = new TMemoryBuffer(64);
            TProtocol protocol = encoding.protocol(out);
            protocol.writeMessageBegin(new TMessage(name, TMessageType.CALL, sequenceId));
            protocol.writeStructBegin(new TStruct());
            body.write(protocol);
            protocol.writeFieldStop();
            protocol.writeStructEnd();
            return RawMessage.of(encoding, Arrays.copyOf(out.getArray(), out.length()));
        } catch (TException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    /** A random message, the same in every encoding for the same seed. */
    static RawMessage random(Encoding encoding, long seed) {
        Random random = new Random(seed);
        return message(encoding, "m\u00e9thod", random.nextInt(), out -> writeFields(out, random, 0));
    }

    private static void writeFields(TProtocol out, Random random, int depth) throws TException {
        for (int count = random.nextInt(depth == 0 ? 12 : 4); count > 0; count--) {
            byte type = TYPES[random.nextInt(depth > MAX_NESTING ? UNNESTED_TYPES : TYPES.length)];
            short id = (short) (random.nextInt(4) == 0 ? random.nextInt() : random.nextInt(40));
            out.writeFieldBegin(new TField("", type, id));
            writeValue(out, random, type, depth);
            out.writeFieldEnd();
        }
    }

    private static void writeValue(TProtocol out, Random random, byte type, int depth) throws TException {
        int size = random.nextInt(10) == 0 ? 20 : random.nextInt(4);
        byte elementType = TYPES[random.nextInt(depth > MAX_NESTING ? UNNESTED_TYPES : TYPES.length)];
        switch (type) {
            case TType.BOOL -> out.writeBool(random.nextBoolean());
            case TType.BYTE -> out.writeByte((byte) random.nextInt());
            case TType.I16 -> out.writeI16((short) random.nextInt());
            case TType.I32 -> out.writeI32(random.nextInt() >> random.nextInt(32));
            case TType.I64 -> out.writeI64(random.nextLong() >> random.nextInt(64));
            case TType.DOUBLE -> out.writeDouble(random.nextGaussian());
            case TType.UUID -> out.writeUuid(new java.util.UUID(random.nextLong(), random.nextLong()));
            case TType.STRING -> {
                byte[] text = new byte[random.nextInt(200)];
                random.nextBytes(text);
                out.writeBinary(ByteBuffer.wrap(text));
            }
            case TType.STRUCT -> {
                out.writeStructBegin(new TStruct());
                writeFields(out, random, depth + 1);
                out.writeFieldStop();
                out.writeStructEnd();
            }
            case TType.MAP -> {
                out.writeMapBegin(new TMap(size == 0 ? 0 : TType.STRING, size == 0 ? 0 : elementType, size));
                for (int i = 0; i < size; i++) {
                    writeValue(out, random, TType.STRING, depth + 1);
                    writeValue(out, random, elementType, depth + 1);
                }
            }
            case TType.SET -> {
                out.writeSetBegin(new TSet(elementType, size));
                for (int i = 0; i < size; i++) {
                    writeValue(out, random, elementType, depth + 1);
                }
            }
            default -> {
                out.writeListBegin(new TList(elementType, size));
                for (int i = 0; i < size; i++) {
                    writeValue(out, random, elementType, depth + 1);
                }
            }
        }
    }

    /**
     * Reads all messages in these bytes, which arrive in parts of a fixed size.
     *
     * @param format null to detect it
     */
    static List<RawMessage> read(WireFormat format, byte[] bytes, int part) throws MalformedMessageException {
        MessageReader reader = new MessageReader(format, LIMITS);
        List<RawMessage> messages = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += part) {
            reader.feed(ByteBuffer.wrap(bytes, at, Math.min(part, bytes.length - at)));
            for (RawMessage next = reader.next(); next != null; next = reader.next()) {
                messages.add(next);
            }
        }
        return messages;
    }

    static byte[] join(byte[]... parts) {
        ByteBuffer all = ByteBuffer.allocate(
                Arrays.stream(parts).mapToInt(part -> part.length).sum());
        Arrays.stream(parts).forEach(all::put);
        return all.array();
    }
}
