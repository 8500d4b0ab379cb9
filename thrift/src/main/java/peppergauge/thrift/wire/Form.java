package peppergauge.thrift.wire;

/** What is spoken on a connection: an encoding, in frames or not. */
public enum Form {
    BINARY(Encoding.BINARY, false),
    OLD_BINARY(Encoding.OLD_BINARY, false),
    COMPACT(Encoding.COMPACT, false),
    FRAMED_BINARY(Encoding.BINARY, true),
    FRAMED_OLD_BINARY(Encoding.OLD_BINARY, true),
    FRAMED_COMPACT(Encoding.COMPACT, true);

    /** Bytes before a framed message: its length, big-endian. */
    public static final int FRAME_HEAD = 4;

    private static final int VERSIONED = 0x80;
    private static final int COMPACT_ID = 0x82;

    private final Encoding encoding;
    private final boolean framed;

    Form(Encoding encoding, boolean framed) {
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
     * What a connection speaks that begins so. The first byte of an unframed strict binary or compact message is over
     * 0x7f; else the first four are a length, of a frame or of an old head's name, and the fifth tells which: the
     * first byte of a message in the frame, or of a name, which is a letter or the like.
     *
     * @param bytes holding the connection's first bytes from {@code at} on
     * @param count how many of them are there, 0 or more
     * @return null if more bytes are needed; never at 5 or more
     * @throws Malformed if no form begins so
     */
    static Form recognise(byte[] bytes, int at, int count) throws Malformed {
        if (count < 1) {
            return null;
        }
        int first = bytes[at] & 0xff;
        if (first == VERSIONED) {
            return BINARY;
        }
        if (first == COMPACT_ID) {
            return COMPACT;
        }
        if (first > 0x7f) {
            throw new Malformed("no form begins with this byte");
        }
        if (count <= FRAME_HEAD) {
            return null;
        }
        int fifth = bytes[at + FRAME_HEAD] & 0xff;
        return switch (fifth) {
            case VERSIONED -> FRAMED_BINARY;
            case COMPACT_ID -> FRAMED_COMPACT;
            case 0 -> FRAMED_OLD_BINARY;
            default -> {
                if (fifth < ' ' || fifth > '~') {
                    throw new Malformed("no form begins with these bytes");
                }
                yield OLD_BINARY;
            }
        };
    }
}
