package peppergauge.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The parts of HTTP/1.1 that stand-ins on blocking sockets need. */
public final class BlockingHttp {

    private static final String END = "\r\n\r\n";

    private BlockingHttp() {}

    /**
     * Reads a message head including its empty line.
     *
     * @return null if the stream ended before the first byte
     */
    public static String head(InputStream in) throws IOException {
        return head(in, in.read());
    }

    /** Reads a message head whose first byte has been read already; -1 stands for the end of the stream. */
    static String head(InputStream in, int first) throws IOException {
        if (first < 0) {
            return null;
        }
        StringBuilder head = new StringBuilder().append((char) first);
        while (head.length() < END.length() || head.indexOf(END, head.length() - END.length()) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended within a message head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Returns the value of a header, or null. */
    public static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElse(null);
    }

    /**
     * Reads the body with the length that the head announces.
     *
     * @throws IOException if the stream ends before
     */
    public static String body(InputStream in, String head) throws IOException {
        String length = header(head, "Content-Length");
        int bytes = length == null ? 0 : Integer.parseInt(length);
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new IOException("the connection ended after " + body.length + " of " + bytes + " body bytes");
        }
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Writes text as ISO 8859-1. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Closes a connection with a TCP reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // The connection has ended in either case.
        }
    }

    /** Closes a connection; one that has failed already is ignored. */
    public static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // The connection has ended in either case.
        }
    }
}
