package peppergauge.http;

import java.io.IOException;
import java.util.function.BooleanSupplier;
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
 * (request smuggling). Lines end with CRLF; folded lines, control characters, ambiguous body lengths and heads over 8
 * KiB are errors, all of which HttpCore's own parser accepts. The lines themselves are parsed by HttpCore. Not
 * thread-safe.
 */
public abstract class HeadReader<T extends HttpMessage> implements NHttpMessageParser<T> {

    static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int INITIAL_LINE_LENGTH = 128;
    private static final LineParser LINES = LazyLineParser.INSTANCE;

    private final CharArrayBuffer line = new CharArrayBuffer(INITIAL_LINE_LENGTH);
    private T head;
    private int headBytes;
    private int lastHeadBytes;
    private long receivedBytes;
    private boolean carriageReturn;
    private final BooleanSupplier mayStart;
    private boolean isHeldBack;
    private boolean hasFailed;

    private HeadReader(BooleanSupplier mayStart) {
        this.mayStart = mayStart;
    }

    /**
     * Returns a parser for requests.
     *
     * @param mayStart whether a further head may be parsed; asked before the first byte of each
     */
    public static HeadReader<HttpRequest> forRequests(BooleanSupplier mayStart) {
        return new HeadReader<>(mayStart) {
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
        return new HeadReader<>(() -> true) {
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

    /** Number of bytes of the last head that was completely received. */
    public int lastHeadBytes() {
        return lastHeadBytes;
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
        head = null;
        headBytes = 0;
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
        isHeldBack = headBytes == 0 && input.hasData() && (hasFailed || !mayStart.getAsBoolean());
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
                    lastHeadBytes = headBytes;
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
        return null;
    }

    private void parseLine() throws HttpException {
        if (line.isEmpty()) {
            // An empty line before a message is ignored (RFC 9112, 2.2).
            return;
        }
        CharArrayBuffer copy = new CharArrayBuffer(line.length());
        copy.append(line, 0, line.length());
        line.clear();
        if (head == null) {
            head = parseFirstLine(copy);
        } else if (copy.charAt(0) == ' ' || copy.charAt(0) == '\t') {
            throw new ProtocolException("a folded line in a head");
        } else {
            Header header = LINES.parseHeader(copy);
            if (!isToken(header.getName())) {
                throw new ProtocolException("a header without a usable name");
            }
            head.addHeader(header);
        }
    }

    /** Whether a header's name is a token (RFC 9110, 5.6.2). */
    private static boolean isToken(String name) {
        return !name.isEmpty()
                && name.chars()
                        .allMatch(letter -> letter > ' ' && letter < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(letter) < 0);
    }
}
