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

/** Reads fields of a message without the definitions of its structs. */
public final class FieldReader {

    private FieldReader() {}

    /**
     * Finds the value at a path.
     *
     * @return empty if a field of the path is absent, or if one that should be a struct is not
     * @throws MalformedMessageException if a field of the path occurs twice: a backend server might read the other one
     */
    public static Optional<FieldValue> find(RawMessage message, FieldPath path) throws MalformedMessageException {
        try {
            TMemoryInputTransport body = bodyTransport(message);
            return Optional.ofNullable(findInStruct(message.encoding().protocol(body), body, path, 0));
        } catch (TException unexpected) {
            throw unreadable(message);
        }
    }

    /** The field ids of the struct of arguments or results. */
    public static Set<Short> fieldIds(RawMessage message) throws MalformedMessageException {
        try {
            TProtocol protocol = message.encoding().protocol(bodyTransport(message));
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
            throw unreadable(message);
        }
    }

    /** A transport that reads the struct of arguments or results. */
    static TMemoryInputTransport bodyTransport(RawMessage message) throws TException {
        byte[] bytes = message.bytes();
        int bodyStart = message.header().bodyStart();
        return new TMemoryInputTransport(
                new TConfiguration(bytes.length, bytes.length, TConfiguration.DEFAULT_RECURSION_DEPTH),
                bytes,
                bodyStart,
                bytes.length - bodyStart);
    }

    private static MalformedMessageException unreadable(RawMessage message) {
        return new MalformedMessageException("message body is not readable as " + message.encoding());
    }

    private static FieldValue findInStruct(
            TProtocol protocol, TMemoryInputTransport transport, FieldPath path, int depth)
            throws TException, MalformedMessageException {
        FieldValue value = null;
        boolean isFound = false;
        protocol.readStructBegin();
        for (TField field = protocol.readFieldBegin(); field.type != TType.STOP; field = protocol.readFieldBegin()) {
            if (field.id != path.ids().get(depth)) {
                protocol.skip(field.type);
                continue;
            }
            if (isFound) {
                throw new MalformedMessageException("field " + field.id + " occurs twice; expected at most once");
            }
            isFound = true;
            if (depth == path.ids().size() - 1) {
                value = readValue(protocol, transport, field.type);
            } else if (field.type == TType.STRUCT) {
                value = findInStruct(protocol, transport, path, depth + 1);
            } else {
                protocol.skip(field.type);
            }
            protocol.readFieldEnd();
        }
        protocol.readStructEnd();
        return value;
    }

    private static FieldValue readValue(TProtocol protocol, TMemoryInputTransport transport, byte type)
            throws TException {
        int start = transport.getBufferPosition();
        String text = null;
        double number = Double.NaN;
        switch (type) {
            case TType.STRING -> text = decodeUtf8(protocol.readBinary());
            case TType.UUID -> text = protocol.readUuid().toString();
            case TType.DOUBLE -> number = Math.floor(protocol.readDouble());
            case TType.BYTE, TType.I16, TType.I32, TType.I64 -> {
                long integer = readInteger(protocol, type);
                text = Long.toString(integer);
                number = integer;
            }
            default -> protocol.skip(type);
        }
        return new FieldValue(type, start, transport.getBufferPosition(), text, number);
    }

    private static long readInteger(TProtocol protocol, byte type) throws TException {
        return switch (type) {
            case TType.BYTE -> protocol.readByte();
            case TType.I16 -> protocol.readI16();
            case TType.I32 -> protocol.readI32();
            default -> protocol.readI64();
        };
    }

    /** Null if the bytes are not UTF-8. */
    private static String decodeUtf8(ByteBuffer bytes) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException notUtf8) {
            return null;
        }
    }
}
