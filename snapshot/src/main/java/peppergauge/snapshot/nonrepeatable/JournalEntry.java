package peppergauge.snapshot.nonrepeatable;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * One record of the journal: kind, length of the id, wall-clock time, id, CRC-32C. The checksum also covers the
 * position of the record in the file, so that a record at another position is invalid.
 *
 * @param kind what happened to the request
 * @param id id of the request
 * @param wallMs wall-clock time, ms since 1970
 */
record JournalEntry(Kind kind, String id, long wallMs) {

    /** What happened to a request. The ordinal is stored in the file. */
    enum Kind {
        /** The request is about to be sent. */
        SENT,
        /** The request ended, and no server executed it. */
        NEVER_RAN,
        /** The request ended, and a server may have executed it. */
        ENDED
    }

    private static final int FIXED_BYTES = 1 + 2 + 8;
    private static final int CHECKSUM_BYTES = 4;

    /**
     * Encodes the record.
     *
     * @param position position of the record in the file
     */
    byte[] encode(long position) {
        byte[] name = id.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(FIXED_BYTES + name.length + CHECKSUM_BYTES);
        out.put((byte) kind.ordinal())
                .putShort((short) name.length)
                .putLong(wallMs)
                .put(name);
        out.putInt(checksum(out.array(), 0, FIXED_BYTES + name.length, position));
        return out.array();
    }

    /** Decodes the record at a position. Returns null if there is no valid record, which ends the journal. */
    static JournalEntry decode(byte[] file, int position) {
        if (file.length - position < FIXED_BYTES + CHECKSUM_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(file, position, file.length - position);
        int kind = in.get();
        int length = in.getShort();
        long wallMs = in.getLong();
        if (kind < 0
                || kind >= Kind.values().length
                || length < 0
                || length > in.remaining() - CHECKSUM_BYTES
                || in.getInt(in.position() + length) != checksum(file, position, FIXED_BYTES + length, position)) {
            return null;
        }
        return new JournalEntry(
                Kind.values()[kind], new String(file, in.position(), length, StandardCharsets.UTF_8), wallMs);
    }

    int sizeBytes() {
        return FIXED_BYTES + id.getBytes(StandardCharsets.UTF_8).length + CHECKSUM_BYTES;
    }

    private static int checksum(byte[] bytes, int from, int length, long position) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(8).putLong(0, position));
        checksum.update(bytes, from, length);
        return (int) checksum.getValue();
    }
}
