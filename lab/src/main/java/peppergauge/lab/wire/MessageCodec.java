package peppergauge.lab.wire;

import java.io.IOException;

/**
 * Encodes and decodes the messages of one connection. The lab handles messages as HTTP/1.1; the codec of another
 * protocol translates from and to it. Each connection has its own instance, since a codec may keep state to match a
 * response to its request.
 */
public interface MessageCodec {

    /** HTTP/1.1, without translation. */
    MessageCodec HTTP = new MessageCodec() {
        @Override
        public Taken read(byte[] bytes, int size) throws IOException {
            return Message.first(bytes, size);
        }

        @Override
        public byte[] write(byte[] message) {
            return message;
        }
    };

    /** A decoded message and the number of bytes that it took. */
    record Taken(Message message, int bytes) {}

    /**
     * Decodes the first message.
     *
     * @param size how many of the bytes have been received
     * @return null if the message is incomplete
     * @throws IOException if the bytes are malformed
     */
    Taken read(byte[] bytes, int size) throws IOException;

    /**
     * Encodes a message.
     *
     * @param message complete, in HTTP/1.1
     * @throws IOException if the protocol cannot express it
     */
    byte[] write(byte[] message) throws IOException;
}
