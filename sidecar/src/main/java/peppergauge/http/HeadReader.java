package peppergauge.http;

import java.io.IOException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.message.LazyLineParser;
import org.apache.hc.core5.http.message.LineParser;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the heads of a connection's messages strictly, so that no two parsers can disagree on where a message ends
 * (request smuggling). Lines end with CRLF; folded lines, control characters, ambiguous body lengths, heads over 8 KiB
 * and heads of too many fields are errors, all of which HttpCore's own parser accepts. The lines themselves are parsed
 * by HttpCore. Not thread-safe.
 */
public abstract class HeadReader<T extends HttpMessage> implements NHttpMessageParser<T> {

    static final int MAX_HEAD_BYTES = 8 * 1024;
    /** A field of a few bytes takes far more memory than a byte of a long one. */
    static final int MAX_FIELDS = 128;
    /** Memory for each byte on the wire: HttpCore keeps lines as characters, besides the strings made from them. */
    private static final int MEMORY_PER_BYTE = 4;
    /** Memory of the objects of a field, besides its text. */
    private static final int MEMORY_PER_FIELD = 160;

    private static final int INITIAL_LINE_LENGTH = 128;
    private static final String NO_TOKEN_CHARACTERS = "\"(),/:;<=>?@[\\]{}";
    private static final LineParser LINES = LazyLineParser.INSTANCE;

    /** Decides for a connection which heads may be parsed. */
    public interface Gate {

        /** A gate that refuses nothing. */
        Gate OPEN = new Gate() {
            @Override
            public boolean mayStart() {
                return true;
            }

            @Override
            public boolean mayHold(long memoryBytes) {
                return true;
            }
        };

        /** Whether a further head may be parsed; asked before the first byte of each. */
        boolean mayStart();

        /** Whether the head that is received in part may hold this much memory until its next bytes arrive. */
        boolean mayHold(long memoryBytes);
    }

    private CharArrayBuffer line = new CharArrayBuffer(INITIAL_LINE_LENGTH);
    private T head;
    private int headBytes;
    private int fields;
    private long lastHeadMemoryBytes;
    private long receivedBytes;
    private boolean carriageReturn;
    private final Gate gate;
    private boolean isHeldBack;
    private boolean hasFailed;

    private HeadReader(Gate gate) {
        this.gate = gate;
    }

    /** Returns a parser for requests. */
    public static HeadReader<HttpRequest> forRequests(Gate gate) {
        return new HeadReader<>(gate) {
            @Override
            HttpRequest parseFirstLine(CharArrayBuffer first) throws HttpException {
                RequestLine requestLine = LINES.parseRequestLine(first);
                HttpRequest request = DefaultHttpRequestFactory.INSTANCE.newHttpRequest(
                        requestLine.getMethod(), requestLine.getUri());
                request.setVersion(requestLine.getProtocolVersion());
                return request;
            }
        };
    }

    /** Returns a parser for responses. */
    public static HeadReader<HttpResponse> forResponses() {
        return new HeadReader<>(Gate.OPEN) {
            @Override
            HttpResponse parseFirstLine(CharArrayBuffer first) throws HttpException {
                StatusLine status = LINES.parseStatusLine(first);
                HttpResponse response = DefaultHttpResponseFactory.INSTANCE.newHttpResponse(
                        status.getStatusCode(), status.getReasonPhrase());
                response.setVersion(status.getProtocolVersion());
                return response;
            }
        };
    }

    /** Whether a head has been received in part. */
    public boolean hasPartialHead() {
        return headBytes > 0;
    }

    /** Whether buffered input was left unparsed at the last call, because no further head might start. */
    public boolean isHeldBack() {
        return isHeldBack;
    }

    /** Whether a head was invalid; nothing is parsed after it. */
    public boolean hasFailed() {
        return hasFailed;
    }

    /** The memory that the last head that was completely received holds at most, in bytes. */
    public long lastHeadMemoryBytes() {
        return lastHeadMemoryBytes;
    }

    private long memoryBytes() {
        return (long) MEMORY_PER_BYTE * headBytes + (long) MEMORY_PER_FIELD * fields;
    }

    /** Number of bytes of all heads received so far. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Parses the first line and returns the message that it starts. */
    abstract T parseFirstLine(CharArrayBuffer first) throws HttpException;

    @Override
    public void reset() {
        line.clear();
        if (line.capacity() > INITIAL_LINE_LENGTH) {
            line = new CharArrayBuffer(INITIAL_LINE_LENGTH);
        }
        head = null;
        headBytes = 0;
        fields = 0;
        carriageReturn = false;
    }

    /**
     * Parses the bytes that have been received.
     *
     * @return the head; null until its blank line has arrived
     * @throws HttpException if the head is not valid or too large
     */
    @Override
    public T parse(SessionInputBuffer input, boolean endOfStream) throws IOException, HttpException {
        isHeldBack = headBytes == 0 && input.hasData() && (hasFailed || !gate.mayStart());
        if (isHeldBack) {
            return null;
        }
        try {
            return parseHead(input);
        } catch (HttpException invalid) {
            hasFailed = true;
            // Nothing of it is needed, and the connection may last until its client has read earlier responses.
            reset();
            throw invalid;
        }
    }

    private T parseHead(SessionInputBuffer input) throws HttpException {
        while (input.hasData()) {
            char next = (char) input.read();
            receivedBytes++;
            if (++headBytes > MAX_HEAD_BYTES) {
                throw new RequestHeaderFieldsTooLargeException("a head over " + MAX_HEAD_BYTES + " bytes");
            }
            if (next == '\n' && carriageReturn) {
                carriageReturn = false;
                if (line.isEmpty() && head != null) {
                    BodyFraming.check(head);
                    lastHeadMemoryBytes = memoryBytes();
                    return head;
                }
                parseLine();
            } else if (carriageReturn || next < ' ' && next != '\r' && next != '\t' || next == 0x7f) {
                throw new ProtocolException("a control character in a head");
            } else if (next == '\r') {
                carriageReturn = true;
            } else {
                line.append(next);
            }
        }
        if (headBytes > 0 && !gate.mayHold(memoryBytes())) {
            throw new RequestHeaderFieldsTooLargeException("no memory for a head of " + headBytes + " bytes so far");
        }
        return null;
    }

    private void parseLine() throws HttpException {
        if (line.isEmpty()) {
            // An empty line before a message is ignored (RFC 9112, 2.2).
            return;
        }
        CharArrayBuffer complete = takeLine();
        if (head == null) {
            head = parseFirstLine(complete);
        } else if (complete.charAt(0) == ' ' || complete.charAt(0) == '\t') {
            throw new ProtocolException("a folded line in a head");
        } else {
            Header header = LINES.parseHeader(complete);
            if (!isToken(header.getName())) {
                throw new ProtocolException("a header without a usable name");
            }
            if (++fields > MAX_FIELDS) {
                throw new RequestHeaderFieldsTooLargeException("a head of over " + MAX_FIELDS + " fields");
            }
            head.addHeader(header);
        }
    }

    /** Returns the characters of the line, which the head keeps, and starts a new line. */
    private CharArrayBuffer takeLine() {
        CharArrayBuffer taken;
        if (line.capacity() > INITIAL_LINE_LENGTH) {
            taken = line;
            line = new CharArrayBuffer(INITIAL_LINE_LENGTH);
        } else {
            taken = new CharArrayBuffer(line.length());
            taken.append(line, 0, line.length());
            line.clear();
        }
        return taken;
    }

    /** Whether a header's name is a token (RFC 9110, 5.6.2). */
    private static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char letter = name.charAt(i);
            if (letter <= ' ' || letter >= 0x7f || NO_TOKEN_CHARACTERS.indexOf(letter) >= 0) {
                return false;
            }
        }
        return !name.isEmpty();
    }
}
