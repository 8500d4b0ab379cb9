package peppergauge.thrift.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * What stands before a message's struct.
 *
 * @param type one of the library's {@code TMessageType}, 1 to 4
 * @param sequenceAt where the sequence id stands in the message
 * @param sequenceEnd where it ends
 * @param bodyAt where the struct begins
 */
public record Head(String name, byte type, int sequence, int sequenceAt, int sequenceEnd, int bodyAt) {

    private static final int VERSION_MASK = 0xffff0000;
    private static final int VERSION_1 = 0x80010000;
    private static final int COMPACT_VERSION = 1;
    private static final int LAST_TYPE = 4;

    /** Null if more bytes are needed. */
    static Head read(Encoding encoding, Cursor in) throws Malformed {
        return switch (encoding) {
            case BINARY -> strict(in);
            case OLD_BINARY -> old(in);
            case COMPACT -> compact(in);
        };
    }

    private static Head strict(Cursor in) throws Malformed {
        if (in.has(1) && in.at(0) != 0x80) {
            throw new Malformed("no strict binary head");
        }
        if (!in.has(8)) {
            return null;
        }
        int version = in.int32(0);
        if ((version & VERSION_MASK) != VERSION_1) {
            throw new Malformed("an unknown version");
        }
        int length = nameLength(in.int32(4));
        return !in.has(12 + length)
                ? null
                : head(in, 8, length, (byte) version, in.int32(8 + length), 8 + length, 12 + length, 12 + length);
    }

    private static Head old(Cursor in) throws Malformed {
        if (!in.has(4)) {
            return null;
        }
        int length = nameLength(in.int32(0));
        return !in.has(9 + length)
                ? null
                : head(
                        in,
                        4,
                        length,
                        (byte) in.at(4 + length),
                        in.int32(5 + length),
                        5 + length,
                        9 + length,
                        9 + length);
    }

    private static Head compact(Cursor in) throws Malformed {
        if (in.has(1) && in.at(0) != 0x82) {
            throw new Malformed("no compact head");
        }
        if (!in.has(2)) {
            return null;
        }
        if ((in.at(1) & 0x1f) != COMPACT_VERSION) {
            throw new Malformed("an unknown version");
        }
        int sequenceLength = in.varint(2, 32);
        int sequence = (int) in.value();
        int lengthLength = sequenceLength == 0 ? 0 : in.varint(2 + sequenceLength, 32);
        if (lengthLength == 0) {
            return null;
        }
        int length = nameLength((int) in.value());
        int nameAt = 2 + sequenceLength + lengthLength;
        return !in.has(nameAt + length)
                ? null
                : head(in, nameAt, length, (byte) (in.at(1) >> 5), sequence, 2, 2 + sequenceLength, nameAt + length);
    }

    private static int nameLength(int claimed) throws Malformed {
        if (claimed < 0 || claimed > Bounds.LONGEST_NAME) {
            throw new Malformed("a name over " + Bounds.LONGEST_NAME + " bytes");
        }
        return claimed;
    }

    private static Head head(
            Cursor in, int nameAt, int nameLength, byte type, int sequence, int sequenceAt, int sequenceEnd, int bodyAt)
            throws Malformed {
        if (type < 1 || type > LAST_TYPE) {
            throw new Malformed("an unknown type of message");
        }
        try {
            String name = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(in.bytes(), in.start() + nameAt, nameLength))
                    .toString();
            return new Head(name, type, sequence, sequenceAt, sequenceEnd, bodyAt);
        } catch (CharacterCodingException notText) {
            throw new Malformed("a name that is no UTF-8");
        }
    }
}
