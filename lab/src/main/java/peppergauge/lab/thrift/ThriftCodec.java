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
import peppergauge.lab.wire.Speech;

/**
 * One connection's Thrift. Its service has a method for each class, {@code Response CLASS(1: Call call, 2: string body)
 * throws (1: TurnedAway away)}, with {@code Call} = 1: id, 2: tenant, 3: i32 remaining, 4: key, {@code Response} = 1:
 * string body, 32767: string load; and {@code string load()}. {@link ThriftFile} tells sidecars the same.
 */
public final class ThriftSpeech implements Speech {

    static final short LOAD = Short.MAX_VALUE;
    static final String PROBE = "load";
    private static final int LENGTH = 4;

    private final Encoding encoding;
    private final boolean framed;
    /** The call that is answered next, on a server's end. */
    private TMessage asked;

    private int lastId;

    /** How values are written. */
    public enum Encoding {
        BINARY,
        OLD_BINARY,
        COMPACT
    }

    private interface Writing {
        void write(TProtocol to) throws TException;
    }

    public ThriftSpeech(Encoding encoding, boolean framed) {
        this.encoding = encoding;
        this.framed = framed;
    }

    /** @param form as an operator file names it, such as {@code framed-compact} */
    public static ThriftSpeech of(String form) {
        boolean framed = form.startsWith("framed-");
        String name = framed ? form.substring("framed-".length()) : form;
        return new ThriftSpeech(Encoding.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')), framed);
    }

    private TProtocol protocol(TTransport transport) {
        return encoding == Encoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, false, encoding == Encoding.BINARY);
    }

    /** A class as a method's name. */
    static String method(String requestClass) {
        return requestClass.replace('-', '_');
    }

    // ---- What comes in ----

    @Override
    public Taken read(byte[] bytes, int size) throws IOException {
        int from = 0;
        int end = size;
        if (framed) {
            if (size < LENGTH) {
                return null;
            }
            int length = (bytes[0] & 0xff) << 24 | (bytes[1] & 0xff) << 16 | (bytes[2] & 0xff) << 8 | bytes[3] & 0xff;
            if (length < 0 || length > 1 << 20) {
                throw new IOException("a frame of " + length + " bytes");
            }
            from = LENGTH;
            end = LENGTH + length;
            if (size < end) {
                return null;
            }
        }
        try {
            TMemoryInputTransport in = new TMemoryInputTransport(bytes, from, end - from);
            Message message = message(protocol(in));
            return new Taken(message, framed ? end : in.getBufferPosition());
        } catch (TTransportException half) {
            if (!framed) {
                // The library says in several ways that more bytes would be needed.
                return null;
            }
            throw new IOException(half);
        } catch (TException unusable) {
            throw new IOException(unusable);
        }
    }

    private Message message(TProtocol in) throws TException {
        TMessage head = in.readMessageBegin();
        if (head.type == TMessageType.EXCEPTION) {
            Message refused = refused(TApplicationException.readFrom(in));
            in.readMessageEnd();
            return refused;
        }
        boolean call = head.type == TMessageType.CALL;
        asked = call ? head : asked;
        Message message = call ? call(in, head.name) : reply(in);
        in.readMessageEnd();
        return message;
    }

    private static Message call(TProtocol in, String method) throws TException {
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

    private static Message reply(TProtocol in) throws TException {
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

    /** A sidecar's refusal, as docs/THRIFT.md words it, or a server's error. */
    private static Message refused(TApplicationException refusal) {
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
        String back = text.replaceAll("(?s).*come back in (\\d+) ms.*", "$1");
        return http(
                "HTTP/1.1 " + status + "\r\n"
                        + (back.equals(text) ? "" : "Retry-After: " + Integer.parseInt(back) / 1e3 + "\r\n"),
                "");
    }

    private static Message http(String head, String body) {
        return new Message(head + "\r\n", body.getBytes(StandardCharsets.ISO_8859_1));
    }

    private interface Field {
        void read(TField field) throws TException;
    }

    private static void fields(TProtocol in, Field each) throws TException {
        in.readStructBegin();
        for (TField field = in.readFieldBegin(); field.type != TType.STOP; field = in.readFieldBegin()) {
            each.read(field);
            in.readFieldEnd();
        }
        in.readStructEnd();
    }

    // ---- What goes out ----

    @Override
    public byte[] write(byte[] message) throws IOException {
        Message http = Message.of(message);
        try {
            return http.word(0).startsWith("HTTP/") ? answer(http) : ask(http);
        } catch (TException impossible) {
            throw new IOException(impossible);
        }
    }

    private byte[] ask(Message http) throws TException {
        String[] path = http.word(1).split("/");
        return spelled(new TMessage(method(path[1]), TMessageType.CALL, ++lastId), to -> {
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

    private byte[] answer(Message http) throws TException {
        String load = http.header("X-Pressure");
        boolean turnedAway = http.header("X-Turned-Away") != null;
        TMessage reply = new TMessage(asked.name, TMessageType.REPLY, asked.seqid);
        if (asked.name.equals(PROBE) && http.word(1).equals("200")) {
            return spelled(reply, to -> text(to, (short) 0, http.text()));
        } else if (http.word(1).equals("200") || turnedAway) {
            return spelled(
                    reply,
                    to -> struct(to, (short) (turnedAway ? 1 : 0), () -> {
                        text(to, (short) 1, http.text());
                        if (load != null) {
                            text(to, LOAD, load);
                        }
                    }));
        }
        return message(
                new TMessage(asked.name, TMessageType.EXCEPTION, asked.seqid),
                to -> new TApplicationException(TApplicationException.INTERNAL_ERROR, "an error of the server's")
                        .write(to));
    }

    private byte[] spelled(TMessage head, Writing fields) throws TException {
        return message(head, to -> {
            to.writeStructBegin(new TStruct());
            fields.write(to);
            to.writeFieldStop();
            to.writeStructEnd();
        });
    }

    private byte[] message(TMessage head, Writing body) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(512);
        TProtocol to = protocol(buffer);
        to.writeMessageBegin(head);
        body.write(to);
        to.writeMessageEnd();
        byte[] bytes = Arrays.copyOf(buffer.getArray(), buffer.length());
        if (!framed) {
            return bytes;
        }
        byte[] frame = new byte[LENGTH + bytes.length];
        for (int i = 0; i < LENGTH; i++) {
            frame[i] = (byte) (bytes.length >>> 8 * (LENGTH - 1 - i));
        }
        System.arraycopy(bytes, 0, frame, LENGTH, bytes.length);
        return frame;
    }

    private interface Inner {
        void write() throws TException;
    }

    private static void struct(TProtocol to, short id, Inner fields) throws TException {
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
