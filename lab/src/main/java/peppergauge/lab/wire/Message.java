package peppergauge.lab.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An HTTP/1.1 message as the lab reads it.
 *
 * @param head the first line and the headers, with the empty line
 * @param body of its Content-Length; chunks are not read
 */
public record Message(String head, byte[] body) {

    /** The word at a place of the first line: the method or version, the path or status. */
    public String word(int place) {
        String[] words = head.substring(0, head.indexOf("\r\n")).split(" ", 3);
        return place < words.length ? words[place] : "";
    }

    /** A header's value, or null. */
    public String header(String name) {
        for (int at = head.indexOf("\r\n"); at + 2 < head.length(); at = head.indexOf("\r\n", at + 2)) {
            int colon = at + 2 + name.length();
            if (head.regionMatches(true, at + 2, name, 0, name.length()) && head.charAt(colon) == ':') {
                return head.substring(colon + 1, head.indexOf("\r\n", colon)).trim();
            }
        }
        return null;
    }

    /** A header's number; what is none or missing, or below 0, counts as the other. */
    public double number(String name, double otherwise) {
        String text = header(name);
        try {
            double number = text == null ? -1 : Double.parseDouble(text);
            return number >= 0 ? number : otherwise;
        } catch (NumberFormatException malformed) {
            return otherwise;
        }
    }

    public boolean closes() {
        return "close".equalsIgnoreCase(header("Connection"));
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** The first whole message in HTTP/1.1, or null. */
    static Speech.Taken first(byte[] bytes, int size) throws IOException {
        int headEnd = headEnd(bytes, size);
        if (headEnd < 0) {
            return null;
        }
        String head = new String(bytes, 0, headEnd, StandardCharsets.ISO_8859_1);
        int end = headEnd + length(new Message(head, new byte[0]));
        return size < end ? null : new Speech.Taken(new Message(head, Arrays.copyOfRange(bytes, headEnd, end)), end);
    }

    /** A whole message that stands alone. */
    public static Message of(byte[] whole) throws IOException {
        Speech.Taken taken = first(whole, whole.length);
        if (taken == null) {
            throw new IOException("half a message");
        }
        return taken.message();
    }

    /** Chunks are not read here: taken for no body they would be read as the next message. */
    private static int length(Message message) throws IOException {
        if (message.header("Transfer-Encoding") != null) {
            throw new IOException("chunked messages are not read");
        }
        String length = message.header("Content-Length");
        try {
            return length == null ? 0 : Integer.parseInt(length);
        } catch (NumberFormatException malformed) {
            throw new IOException("Content-Length is " + length);
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

    /** What has come in on a connection and is not yet taken. */
    public static final class Inbox {

        /** Of a body, in scenarios with long ones, and a head. */
        private static final int LARGEST = 16 * 1024 * 1024 + 16 * 1024;

        private final Speech speech;
        private byte[] bytes = new byte[4096];
        private int size;

        public Inbox(Speech speech) {
            this.speech = speech;
        }

        /** Whether nothing waits, not even half a message. */
        public boolean isEmpty() {
            return size == 0;
        }

        /**
         * Takes bytes that came in elsewhere.
         *
         * @throws IOException if they make a message that is too long
         */
        public void add(byte[] more, int count) throws IOException {
            while (size + count > bytes.length) {
                grow();
            }
            System.arraycopy(more, 0, bytes, size, count);
            size += count;
        }

        private void grow() throws IOException {
            if (size >= LARGEST) {
                throw new IOException("a message of more than " + LARGEST + " bytes");
            }
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
        }

        /** Whether the peer has not ended its sending. */
        boolean fill(SocketChannel channel) throws IOException {
            if (size == bytes.length) {
                grow();
            }
            int read = channel.read(ByteBuffer.wrap(bytes, size, bytes.length - size));
            size += Math.max(0, read);
            return read >= 0;
        }

        /** Forgets what came in. */
        void clear() {
            size = 0;
        }

        /** The next whole message, or null. */
        public Message next() throws IOException {
            Speech.Taken taken = speech.read(bytes, size);
            if (taken == null) {
                return null;
            }
            System.arraycopy(bytes, taken.bytes(), bytes, 0, size - taken.bytes());
            size -= taken.bytes();
            return taken.message();
        }
    }
}
