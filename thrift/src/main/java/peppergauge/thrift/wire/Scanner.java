package peppergauge.thrift.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.thrift.protocol.TType;

/**
 * Finds where a message ends, by its wire types alone, taking up where it stopped when more bytes come in: a message
 * that comes byte by byte costs no more than one that comes at once. What it lets pass the library's own readers can
 * take without a bound being passed; where two readers could differ (a bool that is neither, an id beyond 16 bits) it
 * refuses, lest the sidecar and a backend server take a message for two different ones.
 */
final class Scanner {

    /** The library's types by their compact ones; 1 and 2 are the two bools. */
    private static final byte[] COMPACT_TYPES = {
        TType.STOP,
        TType.BOOL,
        TType.BOOL,
        TType.BYTE,
        TType.I16,
        TType.I32,
        TType.I64,
        TType.DOUBLE,
        TType.STRING,
        TType.LIST,
        TType.SET,
        TType.MAP,
        TType.STRUCT,
        TType.UUID
    };

    private final Encoding encoding;
    private final boolean compact;
    private final int end;
    private final int deepest;
    private final Cursor in = new Cursor();
    private final Deque<Level> levels = new ArrayDeque<>(4);
    private Head head;
    private int at;
    /** Bytes of a value that nothing is to be read from. */
    private int skip;

    private boolean done;

    /** A struct or container that is open. */
    private static final class Level {

        final boolean struct;
        final byte even;
        final byte odd;
        /** Entries still to come; of a map, keys and values. */
        int left;

        int lastId;

        Level(boolean struct, byte even, byte odd, int left) {
            this.struct = struct;
            this.even = even;
            this.odd = odd;
            this.left = left;
        }
    }

    /** {@code end}: the message may have so many bytes, as its frame or the bounds say. */
    Scanner(Encoding encoding, int end, int deepest) {
        this.encoding = encoding;
        this.compact = encoding == Encoding.COMPACT;
        this.end = end;
        this.deepest = deepest;
    }

    /** Null until it is whole. */
    Head head() {
        return head;
    }

    /** Bytes of the message so far; once {@link #advance} says so, its length. */
    int at() {
        return at;
    }

    /**
     * Goes on with what is there.
     *
     * @param bytes holding the message from {@code start} on; what was there before stands there again
     * @return whether the message is whole
     */
    boolean advance(byte[] bytes, int start, int count) throws Malformed {
        in.over(bytes, start, Math.min(count, end));
        while (!done) {
            int step = Math.min(skip, in.count() - at);
            at += step;
            skip -= step;
            if (skip > 0 || !next()) {
                if (in.count() == end) {
                    throw new Malformed("a message that goes on beyond its " + end + " bytes");
                }
                return false;
            }
        }
        return true;
    }

    private boolean next() throws Malformed {
        if (head == null) {
            head = Head.read(encoding, in);
            if (head != null) {
                at = head.bodyAt();
                open(new Level(true, TType.STOP, TType.STOP, 0));
            }
            return head != null;
        }
        Level level = levels.peek();
        if (level.struct) {
            return compact ? compactField(level) : field(level);
        }
        if (level.left == 0) {
            close();
            return true;
        }
        boolean read = value(level.left % 2 == 0 ? level.even : level.odd);
        level.left -= read ? 1 : 0;
        return read;
    }

    private void open(Level level) throws Malformed {
        if (levels.size() >= deepest) {
            throw new Malformed("nested over " + deepest + " deep");
        }
        levels.push(level);
    }

    private void close() {
        levels.pop();
        done = levels.isEmpty();
    }

    // ---- Fields ----

    private boolean field(Level level) throws Malformed {
        if (!in.has(at + 1)) {
            return false;
        }
        byte type = (byte) in.at(at);
        if (type == TType.STOP) {
            at++;
            close();
            return true;
        }
        known(type);
        if (!in.has(at + 3)) {
            return false;
        }
        int before = at;
        at += 3;
        return valueOr(type, before);
    }

    private boolean compactField(Level level) throws Malformed {
        if (!in.has(at + 1)) {
            return false;
        }
        int first = in.at(at);
        if (first == TType.STOP) {
            at++;
            close();
            return true;
        }
        byte type = known(compactType(first & 0x0f));
        int length = 1;
        int id = level.lastId + (first >> 4);
        if (first >> 4 == 0) {
            int idLength = in.varint(at + 1, 16);
            if (idLength == 0) {
                return false;
            }
            length += idLength;
            id = (int) (in.value() >>> 1) ^ -(int) (in.value() & 1);
        }
        if (id > Short.MAX_VALUE) {
            throw new Malformed("a field id over " + Short.MAX_VALUE);
        }
        int before = at;
        at += length;
        if (type != TType.BOOL && !valueOr(type, before)) {
            return false;
        }
        level.lastId = id;
        return true;
    }

    /** A field's head counts as read only together with what must be read of its value. */
    private boolean valueOr(byte type, int before) throws Malformed {
        boolean read = value(type);
        at = read ? at : before;
        return read;
    }

    private static byte compactType(int type) throws Malformed {
        if (type >= COMPACT_TYPES.length) {
            throw new Malformed("an unknown wire type");
        }
        return COMPACT_TYPES[type];
    }

    private static byte known(byte type) throws Malformed {
        switch (type) {
            case TType.BOOL,
                    TType.BYTE,
                    TType.DOUBLE,
                    TType.I16,
                    TType.I32,
                    TType.I64,
                    TType.STRING,
                    TType.STRUCT,
                    TType.MAP,
                    TType.SET,
                    TType.LIST,
                    TType.UUID -> {
                return type;
            }
            default -> throw new Malformed("an unknown wire type");
        }
    }

    // ---- Values ----

    /** Reads of a value what is needed to know its end; false, and nothing is read, if that is not there yet. */
    private boolean value(byte type) throws Malformed {
        return switch (type) {
            case TType.BOOL -> bool();
            case TType.BYTE -> fixed(1);
            case TType.I16 -> compact ? varint(16) : fixed(2);
            case TType.I32 -> compact ? varint(32) : fixed(4);
            case TType.I64 -> compact ? varint(64) : fixed(8);
            case TType.DOUBLE -> fixed(8);
            case TType.UUID -> fixed(16);
            case TType.STRING -> string();
            case TType.STRUCT -> {
                open(new Level(true, TType.STOP, TType.STOP, 0));
                yield true;
            }
            case TType.MAP -> compact ? compactMap() : map();
            default -> compact ? compactList() : list();
        };
    }

    private boolean bool() throws Malformed {
        if (!in.has(at + 1)) {
            return false;
        }
        if (in.at(at) > (compact ? 2 : 1)) {
            throw new Malformed("a bool that is neither");
        }
        at++;
        return true;
    }

    private boolean fixed(int length) throws Malformed {
        if (length < 0 || length > end - at) {
            throw new Malformed("a value that goes on beyond the message's bounds");
        }
        skip = length;
        return true;
    }

    private boolean varint(int bits) throws Malformed {
        int length = in.varint(at, bits);
        at += length;
        return length > 0;
    }

    private boolean string() throws Malformed {
        int length = compact ? in.varint(at, 32) : in.has(at + 4) ? 4 : 0;
        if (length == 0) {
            return false;
        }
        int claimed = compact ? (int) in.value() : in.int32(at);
        at += length;
        return fixed(claimed);
    }

    private boolean map() throws Malformed {
        if (!in.has(at + 6)) {
            return false;
        }
        int size = in.int32(at + 2);
        byte key = (byte) in.at(at);
        byte value = (byte) in.at(at + 1);
        at += 6;
        return container(key, value, size, 2);
    }

    private boolean compactMap() throws Malformed {
        int length = in.varint(at, 32);
        if (length == 0) {
            return false;
        }
        int size = (int) in.value();
        if (size == 0) {
            // The one case without a byte for the types.
            at += length;
            return true;
        }
        if (!in.has(at + length + 1)) {
            return false;
        }
        byte key = compactType(in.at(at + length) >> 4);
        byte value = compactType(in.at(at + length) & 0x0f);
        at += length + 1;
        return container(key, value, size, 2);
    }

    private boolean list() throws Malformed {
        if (!in.has(at + 5)) {
            return false;
        }
        byte type = (byte) in.at(at);
        int size = in.int32(at + 1);
        at += 5;
        return container(type, type, size, 1);
    }

    private boolean compactList() throws Malformed {
        if (!in.has(at + 1)) {
            return false;
        }
        int size = in.at(at) >> 4;
        int length = 1;
        if (size == 15) {
            int sizeLength = in.varint(at + 1, 32);
            if (sizeLength == 0) {
                return false;
            }
            size = (int) in.value();
            length += sizeLength;
        }
        byte type = compactType(in.at(at) & 0x0f);
        at += length;
        return container(type, type, size, 1);
    }

    private boolean container(byte even, byte odd, int size, int each) throws Malformed {
        if (size < 0 || (long) size * each > end - at) {
            throw new Malformed("a container that claims more than the message could hold");
        }
        if (size > 0 || even != TType.STOP || odd != TType.STOP) {
            // Of an empty one the types mean nothing, and some writers leave them 0.
            known(even);
            known(odd);
        }
        if (size > 0) {
            open(new Level(false, even, odd, size * each));
        }
        return true;
    }
}
