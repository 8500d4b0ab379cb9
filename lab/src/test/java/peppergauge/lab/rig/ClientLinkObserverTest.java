package peppergauge.lab.rig;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.lab.history.EventKind;

public class ClientLinkObserverTest {

    private static final byte[] REQUEST = "GET /a HTTP/1.1\r\nX-Txn: a.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".getBytes(StandardCharsets.US_ASCII);

    private final EventRecorder recorder = new EventRecorder();
    private final ClientLinkObserver observer = new ClientLinkObserver(recorder, "s1");

    private List<EventKind> recorded() {
        return recorder.history().events().stream().map(event -> event.what()).toList();
    }

    /**
     * A request in two reads counts as forwarded with its last byte, and a response as received with its last byte. A
     * hang-up is recorded only for a request that was not forwarded when the sidecar closed.
     */
    @Test
    public void recordsHangUpOnlyForUnforwardedRequest() {
        observer.onClientBytesRead(REQUEST, 9);
        observer.onServerBytesWritten(REQUEST, 9);
        assertEquals(recorded(), List.of());
        byte[] rest = java.util.Arrays.copyOfRange(REQUEST, 9, REQUEST.length);
        observer.onClientBytesRead(rest, rest.length);
        observer.onServerBytesWritten(rest, rest.length);
        observer.onServerBytesRead(RESPONSE, RESPONSE.length);
        assertEquals(recorded(), List.of(EventKind.HANDED, EventKind.REPLIED));
        observer.onServerClosed();
        assertEquals(recorded().size(), 2);
        observer.onClientBytesRead(REQUEST, REQUEST.length);
        observer.onServerBytesWritten(REQUEST, REQUEST.length);
        assertEquals(recorded(), List.of(EventKind.HANDED, EventKind.REPLIED, EventKind.HUNG_UP));
    }
}
