package peppergauge.thrift.wire;

/** Bytes of a message that may still be arriving, read by their offset from the first byte of the message. */
final class MessageView {

    private static final int VARINT_BITS_PER_BYTE = 7;
    private static final int VARINT_DATA_MASK = 0x7f;
    private static final int VARINT_CONTINUATION = 0x80;

    private byte[] array;
    private int start;
    private int available;
    private long varintValue;

    /** Sets the view to {@code count} bytes of the array from {@code from} on. */
    void wrap(byte[] bytes, int from, int count) {
        array = bytes;
        start = from;
        available = count;
    }

    byte[] array() {
        return array;
    }

    /** The index of the message's first byte in {@link #array}. */
    int start() {
        return start;
    }

    /** The number of bytes that have arrived. */
    int available() {
        return available;
    }

    boolean hasBytes(int count) {
        return available >= count;
    }

    int byteAt(int offset) {
        return array[start + offset] & 0xff;
    }

    int int32At(int offset) {
        return byteAt(offset) << 24 | byteAt(offset + 1) << 16 | byteAt(offset + 2) << 8 | byteAt(offset + 3);
    }

    /**
     * Reads a varint; {@link #varintValue} returns its value.
     *
     * @param maxBits of the value: 16, 32 or 64
     * @return the length of the varint in bytes; 0 if its end has not arrived
     * @throws MalformedMessageException if it is longer than such a value can be, or has more bits
     */
    int readVarint(int offset, int maxBits) throws MalformedMessageException {
        int maxBytes = (maxBits + VARINT_BITS_PER_BYTE - 1) / VARINT_BITS_PER_BYTE;
        varintValue = 0;
        for (int i = 0; i < maxBytes; i++) {
            if (!hasBytes(offset + i + 1)) {
                return 0;
            }
            int next = byteAt(offset + i);
            int data = next & VARINT_DATA_MASK;
            int bitsLeft = maxBits - VARINT_BITS_PER_BYTE * i;
            if (bitsLeft < VARINT_BITS_PER_BYTE && data >> bitsLeft != 0) {
                throw new MalformedMessageException("varint has more than " + maxBits + " bits");
            }
            varintValue |= (long) data << VARINT_BITS_PER_BYTE * i;
            if (next < VARINT_CONTINUATION) {
                return i + 1;
            }
        }
        throw new MalformedMessageException("varint has no end within " + maxBytes + " bytes");
    }

    /** The value of the varint that was read last. */
    long varintValue() {
        return varintValue;
    }
}
