package peppergauge.snapshot.nonrepeatable;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * One record of the journal: kind, length of the id, wall-clock time, id, CRC-32C. The checksum covers the place in
 * the file, too: a record that stands where it was not written is none.
 *
 * @param wallMs ms since 1970
 */
record Entry(Kind kind, String id, long wallMs) {

    enum Kind {
        SENT,
        NEVER_RAN,
        ENDED
    }

    static final int LONGEST_ID = 1_000;
    private static final int FIXED = 1 + 2 + 8;
    private static final int CHECKSUM = 4;

    /** @param at where in the file it goes */
    byte[] encode(long at) {
        byte[] name = id.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(FIXED + name.length + CHECKSUM);
        out.put((byte) kind.ordinal())
                .putShort((short) name.length)
                .putLong(wallMs)
                .put(name);
        out.putInt(checksum(out.array(), 0, FIXED + name.length, at));
        return out.array();
    }

    /** The record that begins there, or null where there is no whole one: there the journal ends. */
    static Entry decode(byte[] file, int at) {
        if (file.length - at < FIXED + CHECKSUM) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(file, at, file.length - at);
        int kind = in.get();
        int length = in.getShort();
        long wallMs = in.getLong();
        if (kind < 0
                || kind >= Kind.values().length
                || length < 0
                || length > in.remaining() - CHECKSUM
                || in.getInt(in.position() + length) != checksum(file, at, FIXED + length, at)) {
            return null;
        }
        return new Entry(Kind.values()[kind], new String(file, in.position(), length, StandardCharsets.UTF_8), wallMs);
    }

    int size() {
        return FIXED + id.getBytes(StandardCharsets.UTF_8).length + CHECKSUM;
    }

    private static int checksum(byte[] bytes, int from, int length, long at) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(8).putLong(0, at));
        checksum.update(bytes, from, length);
        return (int) checksum.getValue();
    }
}
