package peppergauge.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;

/** Where a body ends, by its head: told once, in one way, or not at all (RFC 9112, 6). */
final class BodyFraming {

    private static final int MOST_DIGITS = 18;

    private BodyFraming() {}

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
                && text.length() <= MOST_DIGITS
                && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }

    static boolean isToken(String name) {
        return !name.isEmpty()
                && name.chars()
                        .allMatch(letter -> letter > ' ' && letter < 0x7f && "\"(),/:;<=>?@[\\]{}".indexOf(letter) < 0);
    }
}
