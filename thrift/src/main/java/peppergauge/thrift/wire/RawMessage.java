package peppergauge.thrift.wire;

/**
 * One whole message, which a {@link MessageReader} has let pass or this package has made.
 *
 * @param bytes from the head's first to the struct's last; not to be written to
 */
public record RawMessage(Encoding encoding, Head head, byte[] bytes) {

    /** @throws IllegalArgumentException if the bytes do not begin with a head of this encoding */
    public static RawMessage of(Encoding encoding, byte[] bytes) {
        Cursor in = new Cursor();
        in.over(bytes, 0, bytes.length);
        try {
            Head head = Head.read(encoding, in);
            if (head != null) {
                return new RawMessage(encoding, head, bytes);
            }
        } catch (Malformed malformed) {
            throw new IllegalArgumentException(malformed.getMessage());
        }
        throw new IllegalArgumentException("no whole head");
    }
}
