package peppergauge.thrift.wire;

/**
 * A complete message that a {@link MessageReader} has accepted or that this package has created.
 *
 * @param bytes from the first byte of the header to the last byte of the body, without a frame header; not to be
 *     modified
 */
public record RawMessage(Encoding encoding, MessageHeader header, byte[] bytes) {

    /** @throws IllegalArgumentException if the bytes do not begin with a header of this encoding */
    public static RawMessage of(Encoding encoding, byte[] bytes) {
        MessageView view = new MessageView();
        view.wrap(bytes, 0, bytes.length);
        try {
            MessageHeader header = MessageHeader.read(encoding, view);
            if (header != null) {
                return new RawMessage(encoding, header, bytes);
            }
        } catch (MalformedMessageException malformed) {
            throw new IllegalArgumentException(malformed.getMessage());
        }
        throw new IllegalArgumentException("message ends within its header, after " + bytes.length + " bytes");
    }
}
