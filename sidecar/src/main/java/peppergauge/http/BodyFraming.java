package peppergauge.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;

/** Checks that a head states the length of its body at most once (RFC 9112, 6). */
final class BodyFraming {

    /** Number of digits that always fit in a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private BodyFraming() {}

    /**
     * Checks Content-Length and Transfer-Encoding.
     *
     * @throws ProtocolException if the length is stated twice, is no number, or uses a coding other than chunked
     */
    static void check(HttpMessage head) throws HttpException {
        Header[] lengths = head.getHeaders("Content-Length");
        Header[] codings = head.getHeaders("Transfer-Encoding");
        if (lengths.length + codings.length > 1) {
            throw new ProtocolException("the length of the body is told more than once");
        }
        if (lengths.length == 1 && !isNumber(lengths[0].getValue())) {
            throw new ProtocolException("the length of the body is no number");
        }
        if (codings.length == 1
                && (!"chunked".equalsIgnoreCase(codings[0].getValue())
                        || head.getVersion() != null && head.getVersion().lessEquals(HttpVersion.HTTP_1_0))) {
            throw new ProtocolException("a transfer coding other than chunked");
        }
    }

    private static boolean isNumber(String text) {
        return text != null
                && !text.isEmpty()
                && text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }
}
