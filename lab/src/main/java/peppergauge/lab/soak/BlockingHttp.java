package peppergauge.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** As much of HTTP/1.1 as stand-ins on blocking sockets need. */
final class BlockingHttp {

    private static final String END = "\r\n\r\n";

    private BlockingHttp() {}

    /** A head with its empty line; null if the stream ended before its first byte. */
    static String head(InputStream in) throws IOException {
        return head(in, in.read());
    }

    /** The same, of which the first byte has been read: -1 for the stream's end. */
    static String head(InputStream in, int first) throws IOException {
        if (first < 0) {
            return null;
        }
        StringBuilder head = new StringBuilder().append((char) first);
        while (head.length() < END.length() || head.indexOf(END, head.length() - END.length()) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended amid a head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** A header's value, or null. */
    static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse(null);
    }

    /** The body that its head announces; fails where it breaks off. */
    static String body(InputStream in, String head) throws IOException {
        String length = header(head, "Content-Length");
        int bytes = length == null ? 0 : Integer.parseInt(length);
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new IOException("the connection ended amid a body");
        }
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends a connection with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It is over either way.
        }
    }

    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // It is over either way.
        }
    }
}
