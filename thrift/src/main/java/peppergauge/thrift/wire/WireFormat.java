package peppergauge.thrift.wire;

/** The format of a connection: an encoding, with framed or unframed messages. */
public enum WireFormat {
    BINARY(Encoding.BINARY, false),
    OLD_BINARY(Encoding.OLD_BINARY, false),
    COMPACT(Encoding.COMPACT, false),
    FRAMED_BINARY(Encoding.BINARY, true),
    FRAMED_OLD_BINARY(Encoding.OLD_BINARY, true),
    FRAMED_COMPACT(Encoding.COMPACT, true);

    /** The length of a framed message precedes it as a big-endian integer. */
    public static final int FRAME_HEADER_BYTES = 4;

    private final Encoding encoding;
    private final boolean framed;

    WireFormat(Encoding encoding, boolean framed) {
        this.encoding = encoding;
        this.framed = framed;
    }

    public Encoding encoding() {
        return encoding;
    }

    public boolean framed() {
        return framed;
    }

    /**
     * Detects the format of a connection from its first bytes. An unframed message in strict binary or compact encoding
     * begins with a byte over 0x7f. In the other formats the first four bytes are a length, either of a frame or of a
     * method name in an old binary header. The fifth byte tells these apart: it is the first byte of the framed message
     * or the first character of the name.
     *
     * @param bytes with the first bytes of the connection from {@code start} on
     * @param count how many of them have arrived
     * @return null if more bytes are needed; never null if {@code count} is 5 or more
     * @throws MalformedMessageException if no format begins with these bytes
     */
    static WireFormat detect(byte[] bytes, int start, int count) throws MalformedMessageException {
        if (count < 1) {
            return null;
        }
        int first = bytes[start] & 0xff;
        if (first == MessageHeader.STRICT_BINARY_FIRST_BYTE) {
            return BINARY;
        }
        if (first == MessageHeader.COMPACT_PROTOCOL_ID) {
            return COMPACT;
        }
        if (first > 0x7f) {
            throw new MalformedMessageException("first byte is " + first + "; expected 128, 130 or at most 127");
        }
        if (count <= FRAME_HEADER_BYTES) {
            return null;
        }
        int fifth = bytes[start + FRAME_HEADER_BYTES] & 0xff;
        return switch (fifth) {
            case MessageHeader.STRICT_BINARY_FIRST_BYTE -> FRAMED_BINARY;
            case MessageHeader.COMPACT_PROTOCOL_ID -> FRAMED_COMPACT;
            case 0 -> FRAMED_OLD_BINARY;
            default -> {
                if (fifth < ' ' || fifth > '~') {
                    throw new MalformedMessageException(
                            "fifth byte is " + fifth + "; expected 0, 128, 130 or printable ASCII");
                }
                yield OLD_BINARY;
            }
        };
    }
}
