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
import peppergauge.thrift.wire.Form;

/**
 * Thrift by its own library. The service: {@code string list(1: Call call, 2: string body) throws (1: Never, 2: Odd)},
 * where Call is {@code 1: string id, 2: string tenant, 3: i32 remaining}; gift is the same.
 */
record ThriftSpelling(Form form) implements Spelling {

    interface Writing {
        void write(TProtocol out) throws TException;
    }

    TProtocol protocol(TTransport transport) {
        return form.encoding() == Encoding.COMPACT
                ? new TCompactProtocol(transport)
                : new TBinaryProtocol(transport, false, form.encoding() == Encoding.BINARY);
    }

    @Override
    public End on(InputStream in) {
        try {
            TTransport stream = new TIOStreamTransport(in);
            TProtocol from = protocol(form.framed() ? new TFramedTransport(stream) : stream);
            return new Reading(from);
        } catch (TException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private record Reading(TProtocol from) implements End {

        @Override
        public Ask ask() throws IOException {
            TMessage message = begin();
            return message == null
                    ? null
                    : read(() -> {
                        String id = null;
                        String body = "";
                        long remainingMs = -1;
                        from.readStructBegin();
                        for (TField field = from.readFieldBegin();
                                field.type != TType.STOP;
                                field = from.readFieldBegin()) {
                            if (field.id == 2) {
                                body = from.readString();
                                continue;
                            }
                            from.readStructBegin();
                            for (TField in = from.readFieldBegin(); in.type != TType.STOP; in = from.readFieldBegin()) {
                                switch (in.id) {
                                    case 1 -> id = from.readString();
                                    case 2 -> from.readString();
                                    default -> remainingMs = from.readI32();
                                }
                            }
                            from.readStructEnd();
                        }
                        from.readStructEnd();
                        return new Ask(message.name, id, remainingMs, body, message.seqid);
                    });
        }

        @Override
        public Answer answer() throws IOException {
            TMessage message = begin();
            return message == null
                    ? null
                    : read(() -> {
                        if (message.type == TMessageType.EXCEPTION) {
                            TApplicationException thrown = TApplicationException.readFrom(from);
                            String text = thrown.getMessage();
                            return new Answer(
                                    text.split(":")[0],
                                    text,
                                    text.contains("come back in")
                                            ? Double.parseDouble(text.replaceAll(".*come back in | ms", ""))
                                            : Double.NaN);
                        }
                        from.readStructBegin();
                        String body = "";
                        for (TField field = from.readFieldBegin();
                                field.type != TType.STOP;
                                field = from.readFieldBegin()) {
                            if (field.id == 0) {
                                body = from.readString();
                            } else {
                                body = "declared " + field.id;
                                from.skip(field.type);
                            }
                        }
                        from.readStructEnd();
                        return new Answer("served", body, Double.NaN);
                    });
        }

        private TMessage begin() {
            try {
                return from.readMessageBegin();
            } catch (TException atEnd) {
                return null;
            }
        }

        private interface Step<T> {
            T run() throws TException;
        }

        private static <T> T read(Step<T> step) throws IOException {
            try {
                return step.run();
            } catch (TException cut) {
                throw new IOException(cut);
            }
        }
    }

    byte[] message(String name, byte type, int sequence, Writing body) {
        try {
            TMemoryBuffer out = new TMemoryBuffer(256);
            TProtocol protocol = protocol(out);
            protocol.writeMessageBegin(new TMessage(name, type, sequence));
            protocol.writeStructBegin(new TStruct());
            body.write(protocol);
            protocol.writeFieldStop();
            protocol.writeStructEnd();
            protocol.writeMessageEnd();
            byte[] bytes = Arrays.copyOf(out.getArray(), out.length());
            return form.framed() ? frame(bytes.length, bytes) : bytes;
        } catch (TException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    static byte[] frame(int length, byte[] bytes) {
        return ByteBuffer.allocate(4 + bytes.length).putInt(length).put(bytes).array();
    }

    static void text(TProtocol out, int id, String text) throws TException {
        out.writeFieldBegin(new TField("", TType.STRING, (short) id));
        out.writeString(text);
    }

    @Override
    public byte[] ask(Ask ask, String tenant) {
        return asking(TMessageType.CALL, ask, tenant);
    }

    byte[] asking(byte type, Ask ask, String tenant) {
        return message(ask.method(), type, ask.sequence(), out -> {
            out.writeFieldBegin(new TField("", TType.STRUCT, (short) 1));
            out.writeStructBegin(new TStruct());
            if (ask.id() != null) {
                text(out, 1, ask.id());
            }
            text(out, 2, tenant);
            out.writeFieldBegin(new TField("", TType.I32, (short) 3));
            out.writeI32((int) ask.remainingMs());
            out.writeFieldStop();
            out.writeStructEnd();
            text(out, 2, ask.body());
        });
    }

    @Override
    public byte[] served(Ask ask, String body) {
        return message(ask.method(), TMessageType.REPLY, ask.sequence(), out -> text(out, 0, body));
    }

    @Override
    public byte[] error(Ask ask) {
        return message(ask.method(), TMessageType.EXCEPTION, ask.sequence(), out -> {
            text(out, 1, "no");
            out.writeFieldBegin(new TField("", TType.I32, (short) 2));
            out.writeI32(TApplicationException.INTERNAL_ERROR);
        });
    }

    @Override
    public byte[] neverRan(Ask ask) {
        return declared(ask, 1);
    }

    byte[] declared(Ask ask, int id) {
        return message(ask.method(), TMessageType.REPLY, ask.sequence(), out -> {
            out.writeFieldBegin(new TField("", TType.STRUCT, (short) id));
            out.writeStructBegin(new TStruct());
            out.writeFieldStop();
            out.writeStructEnd();
        });
    }

    @Override
    public byte[][] spoilt(Ask ask) {
        byte[] good = served(ask, "other");
        byte[] frameOfTwo =
                form.framed() ? frame(2 * (good.length - 4), Arrays.copyOfRange(good, 4, good.length)) : good;
        return new byte[][] {
            served(new Ask(ask.method(), "", 0, "", ask.sequence() + 1), "another's"),
            served(new Ask("other", "", 0, "", ask.sequence()), "another's"),
            message(ask.method(), TMessageType.CALL, ask.sequence(), out -> text(out, 0, "a call")),
            message(ask.method(), TMessageType.ONEWAY, ask.sequence(), out -> text(out, 0, "a call")),
            {(byte) 0xff, 1, 2, 3, 4, 5, 6, 7, 8, 9},
            form.framed()
                    ? ByteBuffer.allocate(2 * frameOfTwo.length - 4)
                            .put(frameOfTwo)
                            .put(good, 4, good.length - 4)
                            .array()
                    : new byte[] {'H', 'T', 'T', 'P', '/', '1', '.', '1', ' '},
        };
    }

    @Override
    public String toString() {
        return form.toString();
    }
}
