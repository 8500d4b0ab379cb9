package peppergauge.lab.thrift;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;

/**
 * Translates one connection's messages between HTTP/1.1 and Thrift. The Thrift service has a method for each request
 * class, {@code Response CLASS(1: Call call, 2: string body) throws (1: TurnedAway away)}, with {@code Call} = 1: id,
 * 2: tenant, 3: i32 remaining, 4: key and {@code Response} = 1: string body, 32767: string load. The method
 * {@code string load()} returns the load report. {@link ThriftOperatorTables} configures sidecars for the same service.
 */
public final class ThriftCodec implements MessageCodec {

    /** Field id of the load report in a response. */
    static final short LOAD = Short.MAX_VALUE;
    /** Name of the method that returns the load report. */
    static final String PROBE = "load";

    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 1 << 20;

    private final Encoding encoding;
    private final boolean framed;
    /** The last call received, which the server answers next. */
    private TMessage lastCall;

    private int lastId;

    /** The Thrift protocol; {@code OLD_BINARY} is the binary protocol without version in the message header. */
    public enum Encoding {
        BINARY,
        OLD_BINARY,
        COMPACT
    }

    private interface Writer {
        void write(TProtocol to) throws TException;
    }

    public ThriftCodec(Encoding encoding, boolean framed) {
        this.encoding = encoding;
        this.framed = framed;
    }

    /** @param form transport and protocol as an operator file names them, such as {@code framed-compact} */
    public static ThriftCodec of(String form) {
        boolean framed = form.startsWith("framed-");
        String name = framed ? form.substring("framed-".length()) : form;
        return new ThriftCodec(Encoding.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')), framed);
    }

    private TProtocol protocol(TTransport transport) {
        return encoding == Encoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, false, encoding == Encoding.BINARY);
    }

    /** Returns the name of a request class's method. */
    static String method(String requestClass) {
        return requestClass.replace('-', '_');
    }

    // ---- Decoding ----

    @Override
    public Taken read(byte[] bytes, int size) throws IOException {
        int from = 0;
        int end = size;
        if (framed) {
            if (size < LENGTH_BYTES) {
                return null;
            }
            int length = (bytes[0] & 0xff) << 24 | (bytes[1] & 0xff) << 16 | (bytes[2] & 0xff) << 8 | bytes[3] & 0xff;
            if (length < 0 || length > MAX_FRAME_BYTES) {
                throw new IOException("expected a frame of at most " + MAX_FRAME_BYTES + " bytes, length is " + length);
            }
            from = LENGTH_BYTES;
            end = LENGTH_BYTES + length;
            if (size < end) {
                return null;
            }
        }
        try {
            TMemoryInputTransport in = new TMemoryInputTransport(bytes, from, end - from);
            Message message = decode(protocol(in));
            return new Taken(message, framed ? end : in.getBufferPosition());
        } catch (TTransportException incomplete) {
            if (!framed) {
                // The library reports an incomplete message by exceptions of several types.
                return null;
            }
            throw new IOException("malformed Thrift frame of " + (end - from) + " bytes: " + incomplete, incomplete);
        } catch (TException malformed) {
            throw new IOException("malformed Thrift message: " + malformed, malformed);
        }
    }

    private Message decode(TProtocol in) throws TException {
        TMessage head = in.readMessageBegin();
        if (head.type == TMessageType.EXCEPTION) {
            Message rejection = rejection(TApplicationException.readFrom(in));
            in.readMessageEnd();
            return rejection;
        }
        boolean call = head.type == TMessageType.CALL;
        lastCall = call ? head : lastCall;
        Message message = call ? decodeCall(in, head.name) : decodeReply(in);
        in.readMessageEnd();
        return message;
    }

    private static Message decodeCall(TProtocol in, String method) throws TException {
        String[] context = new String[4];
        String[] body = {""};
        fields(in, field -> {
            if (field.id == 1 && field.type == TType.STRUCT) {
                fields(in, inner -> {
                    if (inner.id < 1 || inner.id > context.length) {
                        TProtocolUtil.skip(in, inner.type);
                    } else {
                        context[inner.id - 1] =
                                inner.type == TType.I32 ? Integer.toString(in.readI32()) : in.readString();
                    }
                });
            } else if (field.id == 2) {
                body[0] = in.readString();
            } else {
                TProtocolUtil.skip(in, field.type);
            }
        });
        if (method.equals(PROBE)) {
            return http("GET /metrics/load HTTP/1.1\r\n", "");
        }
        return http(
                "POST /" + method + '/' + context[3] + " HTTP/1.1\r\n"
                        + (context[0] == null ? "" : "X-Txn: " + context[0] + "\r\n") + "X-Org: " + context[1]
                        + "\r\nX-Remaining-Ms: " + context[2] + "\r\n",
                body[0]);
    }

    private static Message decodeReply(TProtocol in) throws TException {
        String[] found = new String[2];
        fields(in, field -> {
            if (field.id == 0 && field.type == TType.STRING) {
                found[0] = in.readString();
            } else if (field.id == 0) {
                fields(in, inner -> {
                    if (inner.id == 1) {
                        found[0] = in.readString();
                    } else if (inner.id == LOAD) {
                        found[1] = in.readString();
                    } else {
                        TProtocolUtil.skip(in, inner.type);
                    }
                });
            } else {
                TProtocolUtil.skip(in, field.type);
            }
        });
        return found[0] == null
                ? http("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n", "")
                : http("HTTP/1.1 200 OK\r\n" + (found[1] == null ? "" : "X-Pressure: " + found[1] + "\r\n"), found[0]);
    }

    /** Translates an exception: a sidecar's rejection, whose texts docs/THRIFT.md lists, or a server's error. */
    private static Message rejection(TApplicationException refusal) {
        String text = String.valueOf(refusal.getMessage());
        String word = text.replaceAll(":.*", "");
        String status = switch (word) {
            case "denied" -> "503 Service Unavailable";
            case "failed" -> "502 Bad Gateway";
            case "late" -> "504 Gateway Timeout";
            case "duplicate" -> "409 Conflict";
            case "unusable", "unknown" -> "400 Bad Request";
            default -> "500 Internal Server Error";
        };
        String retryAfterMs = text.replaceAll("(?s).*come back in (\\d+) ms.*", "$1");
        return http(
                "HTTP/1.1 " + status + "\r\n"
                        + (retryAfterMs.equals(text)
                                ? ""
                                : "Retry-After: " + Integer.parseInt(retryAfterMs) / 1e3 + "\r\n"),
                "");
    }

    private static Message http(String head, String body) {
        return new Message(head + "\r\n", body.getBytes(StandardCharsets.ISO_8859_1));
    }

    private interface FieldReader {
        void read(TField field) throws TException;
    }

    private static void fields(TProtocol in, FieldReader reader) throws TException {
        in.readStructBegin();
        for (TField field = in.readFieldBegin(); field.type != TType.STOP; field = in.readFieldBegin()) {
            reader.read(field);
            in.readFieldEnd();
        }
        in.readStructEnd();
    }

    // ---- Encoding ----

    @Override
    public byte[] write(byte[] message) throws IOException {
        Message http = Message.of(message);
        try {
            return http.startLineToken(0).startsWith("HTTP/") ? encodeReply(http) : encodeCall(http);
        } catch (TException impossible) {
            throw new IOException(
                    "cannot encode as Thrift: " + http.startLineToken(0) + ' ' + http.startLineToken(1), impossible);
        }
    }

    private byte[] encodeCall(Message http) throws TException {
        String[] path = http.startLineToken(1).split("/");
        return encodeStruct(new TMessage(method(path[1]), TMessageType.CALL, ++lastId), to -> {
            struct(to, (short) 1, () -> {
                text(to, (short) 1, String.valueOf(http.header("X-Txn")));
                text(to, (short) 2, String.valueOf(http.header("X-Org")));
                to.writeFieldBegin(new TField("", TType.I32, (short) 3));
                to.writeI32((int) http.number("X-Remaining-Ms", 0));
                to.writeFieldEnd();
                text(to, (short) 4, path.length > 2 ? path[path.length - 1] : "");
            });
            text(to, (short) 2, http.text());
        });
    }

    private byte[] encodeReply(Message http) throws TException {
        String load = http.header("X-Pressure");
        boolean turnedAway = http.header("X-Turned-Away") != null;
        TMessage reply = new TMessage(lastCall.name, TMessageType.REPLY, lastCall.seqid);
        if (lastCall.name.equals(PROBE) && http.startLineToken(1).equals("200")) {
            return encodeStruct(reply, to -> text(to, (short) 0, http.text()));
        } else if (http.startLineToken(1).equals("200") || turnedAway) {
            return encodeStruct(
                    reply,
                    to -> struct(to, (short) (turnedAway ? 1 : 0), () -> {
                        text(to, (short) 1, http.text());
                        if (load != null) {
                            text(to, LOAD, load);
                        }
                    }));
        }
        return encode(
                new TMessage(lastCall.name, TMessageType.EXCEPTION, lastCall.seqid),
                to -> new TApplicationException(TApplicationException.INTERNAL_ERROR, "an error of the server's")
                        .write(to));
    }

    private byte[] encodeStruct(TMessage head, Writer fields) throws TException {
        return encode(head, to -> {
            to.writeStructBegin(new TStruct());
            fields.write(to);
            to.writeFieldStop();
            to.writeStructEnd();
        });
    }

    private byte[] encode(TMessage head, Writer body) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(512);
        TProtocol to = protocol(buffer);
        to.writeMessageBegin(head);
        body.write(to);
        to.writeMessageEnd();
        byte[] bytes = Arrays.copyOf(buffer.getArray(), buffer.length());
        if (!framed) {
            return bytes;
        }
        byte[] frame = new byte[LENGTH_BYTES + bytes.length];
        for (int i = 0; i < LENGTH_BYTES; i++) {
            frame[i] = (byte) (bytes.length >>> 8 * (LENGTH_BYTES - 1 - i));
        }
        System.arraycopy(bytes, 0, frame, LENGTH_BYTES, bytes.length);
        return frame;
    }

    private interface NestedWriter {
        void write() throws TException;
    }

    private static void struct(TProtocol to, short id, NestedWriter fields) throws TException {
        to.writeFieldBegin(new TField("", TType.STRUCT, id));
        to.writeStructBegin(new TStruct());
        fields.write();
        to.writeFieldStop();
        to.writeStructEnd();
        to.writeFieldEnd();
    }

    private static void text(TProtocol to, short id, String value) throws TException {
        to.writeFieldBegin(new TField("", TType.STRING, id));
        to.writeString(value);
        to.writeFieldEnd();
    }
}
