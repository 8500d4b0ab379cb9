package peppergauge.lab.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An HTTP/1.1 message.
 *
 * @param head the first line and the headers, with the empty line
 * @param body as long as Content-Length says; chunked bodies are not supported
 */
public record Message(String head, byte[] body) {

    /** Returns a token of the start line by its index, such as 1 for the path or the status; empty if there is none. */
    public String startLineToken(int index) {
        String[] words = head.substring(0, head.indexOf("\r\n")).split(" ", 3);
        return index < words.length ? words[index] : "";
    }

    /** Returns a header's value, or null. */
    public String header(String name) {
        for (int at = head.indexOf("\r\n"); at + 2 < head.length(); at = head.indexOf("\r\n", at + 2)) {
            int colon = at + 2 + name.length();
            if (head.regionMatches(true, at + 2, name, 0, name.length()) && head.charAt(colon) == ':') {
                return head.substring(colon + 1, head.indexOf("\r\n", colon)).trim();
            }
        }
        return null;
    }

    /** Returns a header's number, or the default if the header is missing, malformed or negative. */
    public double number(String name, double defaultValue) {
        String text = header(name);
        try {
            double number = text == null ? -1 : Double.parseDouble(text);
            return number >= 0 ? number : defaultValue;
        } catch (NumberFormatException malformed) {
            return defaultValue;
        }
    }

    public boolean closes() {
        return "close".equalsIgnoreCase(header("Connection"));
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Returns the first complete message, or null if it is incomplete. */
    static MessageCodec.Taken first(byte[] bytes, int size) throws IOException {
        int headEnd = headEnd(bytes, size);
        if (headEnd < 0) {
            return null;
        }
        String head = new String(bytes, 0, headEnd, StandardCharsets.ISO_8859_1);
        int end = headEnd + length(new Message(head, new byte[0]));
        return size < end
                ? null
                : new MessageCodec.Taken(new Message(head, Arrays.copyOfRange(bytes, headEnd, end)), end);
    }

    /**
     * Parses one complete message.
     *
     * @throws IOException if it is incomplete or malformed
     */
    public static Message of(byte[] whole) throws IOException {
        MessageCodec.Taken taken = first(whole, whole.length);
        if (taken == null) {
            throw new IOException("expected a complete HTTP message, got the first " + whole.length + " bytes of one");
        }
        return taken.message();
    }

    /** Rejects chunked bodies, whose chunks would otherwise be read as the next message. */
    private static int length(Message message) throws IOException {
        if (message.header("Transfer-Encoding") != null) {
            throw new IOException("Transfer-Encoding is not supported: " + message.header("Transfer-Encoding"));
        }
        String length = message.header("Content-Length");
        try {
            return length == null ? 0 : Integer.parseInt(length);
        } catch (NumberFormatException malformed) {
            throw new IOException("Content-Length is not a number: " + length);
        }
    }

    private static int headEnd(byte[] bytes, int size) {
        for (int i = 3; i < size; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    /** Buffers received bytes and splits them into messages. */
    public static final class Inbox {

        /** Bounds a message: a body of 16 MiB, as in scenarios with long bodies, and a head. */
        private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024 + 16 * 1024;

        private final MessageCodec codec;
        private byte[] bytes = new byte[4096];
        private int size;

        public Inbox(MessageCodec codec) {
            this.codec = codec;
        }

        /** Returns whether no bytes are buffered. */
        public boolean isEmpty() {
            return size == 0;
        }

        /**
         * Adds bytes that were read elsewhere.
         *
         * @throws IOException if the message is too long
         */
        public void add(byte[] more, int count) throws IOException {
            while (size + count > bytes.length) {
                grow();
            }
            System.arraycopy(more, 0, bytes, size, count);
            size += count;
        }

        private void grow() throws IOException {
            if (size >= MAX_MESSAGE_BYTES) {
                throw new IOException(
                        "message exceeds " + MAX_MESSAGE_BYTES + " bytes, " + size + " bytes are buffered");
            }
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
        }

        /** Reads available bytes; returns false at the end of the stream. */
        boolean fill(SocketChannel channel) throws IOException {
            if (size == bytes.length) {
                grow();
            }
            int read = channel.read(ByteBuffer.wrap(bytes, size, bytes.length - size));
            size += Math.max(0, read);
            return read >= 0;
        }

        /** Discards the buffered bytes. */
        void clear() {
            size = 0;
        }

        /** Removes and returns the next complete message, or null if there is none. */
        public Message next() throws IOException {
            MessageCodec.Taken taken = codec.read(bytes, size);
            if (taken == null) {
                return null;
            }
            System.arraycopy(bytes, taken.bytes(), bytes, 0, size - taken.bytes());
            size -= taken.bytes();
            return taken.message();
        }
    }
}
