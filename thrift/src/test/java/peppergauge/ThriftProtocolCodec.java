package peppergauge;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.WireFormat;

/**
 * Thrift by Apache's library. The service has the method {@code string list(1: Call call, 2: string body) throws
 * (1: NotExecuted, 2: Declared)} and a method gift with the same signature. The struct Call is
 * {@code 1: string id, 2: string tenant, 3: i32 remaining}.
 */
record ThriftProtocolCodec(WireFormat format) implements ProtocolCodec {

    interface BodyWriter {
        void write(TProtocol out) throws TException;
    }

    TProtocol protocol(TTransport transport) {
        return format.encoding() == Encoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, false, format.encoding() == Encoding.BINARY);
    }

    @Override
    public Reader newReader(InputStream in) {
        try {
            TTransport stream = new TIOStreamTransport(in);
            TProtocol protocol = protocol(format.framed() ? new TFramedTransport(stream) : stream);
            return new ThriftReader(protocol);
        } catch (TException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    private record ThriftReader(TProtocol protocol) implements Reader {

        @Override
        public Request readRequest() throws IOException {
            TMessage message = readHeader();
            return message == null
                    ? null
                    : wrapErrors(() -> {
                        String id = null;
                        String body = "";
                        long remainingMs = -1;
                        protocol.readStructBegin();
                        for (TField field = protocol.readFieldBegin();
                                field.type != TType.STOP;
                                field = protocol.readFieldBegin()) {
                            if (field.id == 2) {
                                body = protocol.readString();
                                continue;
                            }
                            protocol.readStructBegin();
                            for (TField inner = protocol.readFieldBegin();
                                    inner.type != TType.STOP;
                                    inner = protocol.readFieldBegin()) {
                                switch (inner.id) {
                                    case 1 -> id = protocol.readString();
                                    case 2 -> protocol.readString();
                                    default -> remainingMs = protocol.readI32();
                                }
                            }
                            protocol.readStructEnd();
                        }
                        protocol.readStructEnd();
                        return new Request(message.name, id, remainingMs, body, message.seqid);
                    });
        }

        @Override
        public Response readResponse() throws IOException {
            TMessage message = readHeader();
            return message == null
                    ? null
                    : wrapErrors(() -> {
                        if (message.type == TMessageType.EXCEPTION) {
                            TApplicationException exception = TApplicationException.readFrom(protocol);
                            String text = exception.getMessage();
                            return new Response(
                                    text.split(":")[0],
                                    text,
                                    text.contains("come back in")
                                            ? Double.parseDouble(text.replaceAll(".*come back in | ms", ""))
                                            : Double.NaN);
                        }
                        protocol.readStructBegin();
                        String body = "";
                        for (TField field = protocol.readFieldBegin();
                                field.type != TType.STOP;
                                field = protocol.readFieldBegin()) {
                            if (field.id == 0) {
                                body = protocol.readString();
                            } else {
                                body = "declared " + field.id;
                                protocol.skip(field.type);
                            }
                        }
                        protocol.readStructEnd();
                        return new Response("served", body, Double.NaN);
                    });
        }

        private TMessage readHeader() {
            try {
                return protocol.readMessageBegin();
            } catch (TException atEnd) {
                return null;
            }
        }

        private interface Step<T> {
            T run() throws TException;
        }

        private static <T> T wrapErrors(Step<T> step) throws IOException {
            try {
                return step.run();
            } catch (TException truncated) {
                throw new IOException(truncated);
            }
        }
    }

    byte[] message(String name, byte type, int sequenceId, BodyWriter body) {
        try {
            TMemoryBuffer out = new TMemoryBuffer(256);
            TProtocol protocol = protocol(out);
            protocol.writeMessageBegin(new TMessage(name, type, sequenceId));
            protocol.writeStructBegin(new TStruct());
            body.write(protocol);
            protocol.writeFieldStop();
            protocol.writeStructEnd();
            protocol.writeMessageEnd();
            byte[] bytes = Arrays.copyOf(out.getArray(), out.length());
            return format.framed() ? frame(bytes.length, bytes) : bytes;
        } catch (TException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    static byte[] frame(int length, byte[] bytes) {
        return ByteBuffer.allocate(4 + bytes.length).putInt(length).put(bytes).array();
    }

    static void writeText(TProtocol out, int id, String text) throws TException {
        out.writeFieldBegin(new TField("", TType.STRING, (short) id));
        out.writeString(text);
    }

    @Override
    public byte[] encodeRequest(Request request, String tenant) {
        return encodeCall(TMessageType.CALL, request, tenant);
    }

    byte[] encodeCall(byte type, Request request, String tenant) {
        return message(request.method(), type, request.sequenceId(), out -> {
            out.writeFieldBegin(new TField("", TType.STRUCT, (short) 1));
            out.writeStructBegin(new TStruct());
            if (request.id() != null) {
                writeText(out, 1, request.id());
            }
            writeText(out, 2, tenant);
            out.writeFieldBegin(new TField("", TType.I32, (short) 3));
            out.writeI32((int) request.remainingMs());
            out.writeFieldStop();
            out.writeStructEnd();
            writeText(out, 2, request.body());
        });
    }

    @Override
    public byte[] encodeResponse(Request request, String body) {
        return message(request.method(), TMessageType.REPLY, request.sequenceId(), out -> writeText(out, 0, body));
    }

    @Override
    public byte[] encodeError(Request request) {
        return message(request.method(), TMessageType.EXCEPTION, request.sequenceId(), out -> {
            writeText(out, 1, "no");
            out.writeFieldBegin(new TField("", TType.I32, (short) 2));
            out.writeI32(TApplicationException.INTERNAL_ERROR);
        });
    }

    @Override
    public byte[] encodeNotExecuted(Request request) {
        return encodeDeclaredException(request, 1);
    }

    byte[] encodeDeclaredException(Request request, int fieldId) {
        return message(request.method(), TMessageType.REPLY, request.sequenceId(), out -> {
            out.writeFieldBegin(new TField("", TType.STRUCT, (short) fieldId));
            out.writeStructBegin(new TStruct());
            out.writeFieldStop();
            out.writeStructEnd();
        });
    }

    @Override
    public byte[][] encodeInvalidResponses(Request request) {
        byte[] valid = encodeResponse(request, "other");
        byte[] frameOfTwo =
                format.framed() ? frame(2 * (valid.length - 4), Arrays.copyOfRange(valid, 4, valid.length)) : valid;
        return new byte[][] {
            encodeResponse(new Request(request.method(), "", 0, "", request.sequenceId() + 1), "another's"),
            encodeResponse(new Request("other", "", 0, "", request.sequenceId()), "another's"),
            message(request.method(), TMessageType.CALL, request.sequenceId(), out -> writeText(out, 0, "a call")),
            message(request.method(), TMessageType.ONEWAY, request.sequenceId(), out -> writeText(out, 0, "a call")),
            {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7, 8, 9},
            format.framed()
                    ? ByteBuffer.allocate(2 * frameOfTwo.length - 4)
                            .put(frameOfTwo)
                            .put(valid, 4, valid.length - 4)
                            .array()
                    : new byte[] {'H', 'T', 'T', 'P', '/', '1', '.', '1', ' '},
        };
    }

    @Override
    public String toString() {
        return format.toString();
    }
}
