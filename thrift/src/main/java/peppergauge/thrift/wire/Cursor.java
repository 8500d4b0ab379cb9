package peppergauge.thrift.wire;

/** Part of a message that is still coming in: offsets count from its first byte, and what is not there yet is told. */
final class Cursor {

    private byte[] bytes;
    private int start;
    private int count;
    private long value;

    void over(byte[] held, int from, int there) {
        bytes = held;
        start = from;
        count = there;
    }

    byte[] bytes() {
        return bytes;
    }

    int start() {
        return start;
    }

    int count() {
        return count;
    }

    boolean has(int end) {
        return count >= end;
    }

    int at(int offset) {
        return bytes[start + offset] & 0xff;
    }

    int int32(int offset) {
        return at(offset) << 24 | at(offset + 1) << 16 | at(offset + 2) << 8 | at(offset + 3);
    }

    /**
     * Reads a varint whose number is then {@link #value}.
     *
     * @param bits that the number may have, 16, 32 or 64
     * @return how many bytes it takes; 0 if its end is not there yet
     * @throws Malformed if it goes on for too long, or holds more bits
     */
    int varint(int offset, int bits) throws Malformed {
        int most = (bits + 6) / 7;
        value = 0;
        for (int i = 0; i < most; i++) {
            if (!has(offset + i + 1)) {
                return 0;
            }
            int next = at(offset + i);
            int low = next & 0x7f;
            if (bits - 7 * i < 7 && low >> bits - 7 * i != 0) {
                throw new Malformed("a varint over " + bits + " bits");
            }
            value |= (long) low << 7 * i;
            if (next < 0x80) {
                return i + 1;
            }
        }
        throw new Malformed("a varint that does not end");
    }

    /** What the last varint held. */
    long value() {
        return value;
    }
}
