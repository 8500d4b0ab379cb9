package peppergauge.http;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.message.MessageSupport;
import peppergauge.request.Message;

/** The protocol's header names by their meaning, and the choice of the headers that are forwarded. */
public final class Headers {

    /** Identifies a request across its attempts. */
    public static final String REQUEST_ID = "X-Txn";
    /** Name of the tenant that a request belongs to. */
    public static final String TENANT = "X-Org";
    /** Time for which the sender of a request still waits for the response, in whole milliseconds. */
    public static final String REMAINING_TIME_MS = "X-Remaining-Ms";
    /** {@code 1} in a retry of a client's earlier request. */
    public static final String CLIENT_RETRY = "X-Resent";
    /** Load report of a backend server, in its responses. */
    public static final String LOAD_REPORT = "X-Pressure";
    /** {@code 1} in a backend server's 503 or 504 to a request that did not run. */
    public static final String REJECTED = "X-Turned-Away";

    /** Hop-by-hop headers (RFC 9110, 7.6.1), and the length, which is set again for each message. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private Headers() {}

    /** Returns the headers to forward: all but the hop-by-hop ones and those that Connection names. */
    public static List<Message.Field> endToEnd(MessageHeaders message) {
        Set<String> dropped = new TreeSet<>(HOP_BY_HOP);
        for (Iterator<String> named = MessageSupport.iterateTokens(message, "Connection"); named.hasNext(); ) {
            dropped.add(named.next().toLowerCase(Locale.ROOT));
        }
        List<Message.Field> fields = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            if (!dropped.contains(header.getName().toLowerCase(Locale.ROOT))) {
                fields.add(new Message.Field(header.getName(), header.getValue()));
            }
        }
        return fields;
    }
}
