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
 * Reads a head so that no two readers can differ on where it and its body end. HttpCore's own parser bounds lines
 * and their number but not the whole, ends a line at a bare LF, joins folded lines, takes a head that breaks off
 * for whole, and lets Transfer-Encoding go before a Content-Length: a body could hide another request. The lines
 * themselves are left to HttpCore's line parser.
 */
public abstract class HeadReader<T extends HttpMessage> implements NHttpMessageParser<T> {

    static final int LARGEST_HEAD = 8 * 1024;
    private static final LineParser LINES = LazyLineParser.INSTANCE;

    private final CharArrayBuffer line = new CharArrayBuffer(128);
    private T head;
    private int read;
    private long taken;
    private boolean carriageReturn;

    private HeadReader() {}

    public static HeadReader<HttpRequest> forRequests() {
        return new HeadReader<>() {
            @Override
            HttpRequest begin(CharArrayBuffer first) throws HttpException {
                RequestLine asked = LINES.parseRequestLine(first);
                HttpRequest request =
                        DefaultHttpRequestFactory.INSTANCE.newHttpRequest(asked.getMethod(), asked.getUri());
                request.setVersion(asked.getProtocolVersion());
                return request;
            }
        };
    }

    public static HeadReader<HttpResponse> forResponses() {
        return new HeadReader<>() {
            @Override
            HttpResponse begin(CharArrayBuffer first) throws HttpException {
                StatusLine status = LINES.parseStatusLine(first);
                HttpResponse response = DefaultHttpResponseFactory.INSTANCE.newHttpResponse(
                        status.getStatusCode(), status.getReasonPhrase());
                response.setVersion(status.getProtocolVersion());
                return response;
            }
        };
    }

    /** Whether a part of a head has come in. */
    public boolean hasPartialHead() {
        return read > 0;
    }

    /** Bytes of all heads that came in. */
    public long receivedBytes() {
        return taken;
    }

    /** The message that a first line begins. */
    abstract T begin(CharArrayBuffer first) throws HttpException;

    @Override
    public void reset() {
        line.clear();
        head = null;
        read = 0;
        carriageReturn = false;
    }

    /** Takes in what there is; null as long as the blank line has not come. */
    @Override
    public T parse(SessionInputBuffer input, boolean endOfStream) throws IOException, HttpException {
        while (input.hasData()) {
            char next = (char) input.read();
            taken++;
            if (++read > LARGEST_HEAD) {
                throw new RequestHeaderFieldsTooLargeException("a head over " + LARGEST_HEAD + " bytes");
            }
            if (next == '\n' && carriageReturn) {
                carriageReturn = false;
                if (line.isEmpty() && head != null) {
                    BodyFraming.check(head);
                    return head;
                }
                take();
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

    private void take() throws HttpException {
        if (line.isEmpty()) {
            // An empty line before a message is passed over (RFC 9112, 2.2).
            return;
        }
        CharArrayBuffer whole = new CharArrayBuffer(line.length());
        whole.append(line, 0, line.length());
        line.clear();
        if (head == null) {
            head = begin(whole);
        } else if (whole.charAt(0) == ' ' || whole.charAt(0) == '\t') {
            throw new ProtocolException("a folded line in a head");
        } else {
            Header header = LINES.parseHeader(whole);
            if (!BodyFraming.isToken(header.getName())) {
                throw new ProtocolException("a header without a usable name");
            }
            head.addHeader(header);
        }
    }
}
