package peppergauge.thrift.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryInputTransport;

/** Finds values in a message without knowing its structs. */
public final class Fields {

    private Fields() {}

    /**
     * The value at a path; empty if a field of it is absent, or is no struct where it must be one.
     *
     * @throws Malformed if a field of it stands there twice: a backend server might read the other
     */
    public static Optional<Value> find(RawMessage message, FieldPath path) throws Malformed {
        try {
            TMemoryInputTransport in = in(message);
            Value value = find(message.encoding().protocol(in), in, path, 0);
            return Optional.ofNullable(value);
        } catch (TException unexpected) {
            throw new Malformed("unreadable");
        }
    }

    /** The ids of the fields of the message's own struct. */
    public static Set<Short> ids(RawMessage message) throws Malformed {
        try {
            TProtocol protocol = message.encoding().protocol(in(message));
            Set<Short> ids = new TreeSet<>();
            protocol.readStructBegin();
            for (TField field = protocol.readFieldBegin();
                    field.type != TType.STOP;
                    field = protocol.readFieldBegin()) {
                ids.add(field.id);
                protocol.skip(field.type);
            }
            return ids;
        } catch (TException unexpected) {
            throw new Malformed("unreadable");
        }
    }

    static TMemoryInputTransport in(RawMessage message) throws TException {
        byte[] bytes = message.bytes();
        int body = message.head().bodyAt();
        return new TMemoryInputTransport(
                new TConfiguration(bytes.length, bytes.length, TConfiguration.DEFAULT_RECURSION_DEPTH),
                bytes,
                body,
                bytes.length - body);
    }

    private static Value find(TProtocol protocol, TMemoryInputTransport in, FieldPath path, int depth)
            throws TException, Malformed {
        Value found = null;
        boolean met = false;
        protocol.readStructBegin();
        for (TField field = protocol.readFieldBegin(); field.type != TType.STOP; field = protocol.readFieldBegin()) {
            if (field.id != path.ids().get(depth)) {
                protocol.skip(field.type);
                continue;
            }
            if (met) {
                throw new Malformed("field " + field.id + " is there twice");
            }
            met = true;
            if (depth == path.ids().size() - 1) {
                found = read(protocol, in, field.type);
            } else if (field.type == TType.STRUCT) {
                found = find(protocol, in, path, depth + 1);
            } else {
                protocol.skip(field.type);
            }
            protocol.readFieldEnd();
        }
        protocol.readStructEnd();
        return found;
    }

    private static Value read(TProtocol protocol, TMemoryInputTransport in, byte type) throws TException {
        int start = in.getBufferPosition();
        String text = null;
        double number = Double.NaN;
        switch (type) {
            case TType.STRING -> text = text(protocol.readBinary());
            case TType.UUID -> text = protocol.readUuid().toString();
            case TType.DOUBLE -> number = Math.floor(protocol.readDouble());
            case TType.BYTE, TType.I16, TType.I32, TType.I64 -> {
                long whole = type == TType.BYTE
                        ? protocol.readByte()
                        : type == TType.I16
                                ? protocol.readI16()
                                : type == TType.I32 ? protocol.readI32() : protocol.readI64();
                text = Long.toString(whole);
                number = whole;
            }
            default -> protocol.skip(type);
        }
        return new Value(type, start, in.getBufferPosition(), text, number);
    }

    private static String text(ByteBuffer bytes) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException notText) {
            return null;
        }
    }
}
