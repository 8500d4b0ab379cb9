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

/** The headers of the protocol, and which of them are passed on. */
public final class Headers {

    public static final String REQUEST_ID = "X-Txn";
    public static final String TENANT = "X-Org";
    public static final String REMAINING_TIME_MS = "X-Remaining-Ms";
    public static final String CLIENT_RETRY = "X-Resent";
    public static final String LOAD_REPORT = "X-Pressure";
    public static final String REJECTED = "X-Turned-Away";

    /** What belongs to one connection (RFC 9110, 7.6.1), and the length, which is written anew. */
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

    /** The headers that go on to the other side: not the hop-by-hop ones, nor those that Connection names. */
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
