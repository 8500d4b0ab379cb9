package peppergauge.lab.wire;

import java.io.IOException;

/**
 * How one connection's messages are spelled. The lab thinks in HTTP/1.1; another protocol's speech translates. One for
 * each connection, for it may have to remember what a message answers.
 */
public interface Speech {

    /** HTTP/1.1 as it stands. */
    Speech HTTP = new Speech() {
        @Override
        public Taken read(byte[] bytes, int size) throws IOException {
            return Message.first(bytes, size);
        }

        @Override
        public byte[] write(byte[] message) {
            return message;
        }
    };

    /** The first message of what came in, and how many bytes it took. */
    record Taken(Message message, int bytes) {}

    /**
     * The first whole message.
     *
     * @param size how many of the bytes have come in
     * @return null as long as it is not whole
     * @throws IOException if it can be none
     */
    Taken read(byte[] bytes, int size) throws IOException;

    /**
     * Spells a message.
     *
     * @param message whole, in HTTP/1.1
     * @throws IOException if it cannot be said
     */
    byte[] write(byte[] message) throws IOException;
}
