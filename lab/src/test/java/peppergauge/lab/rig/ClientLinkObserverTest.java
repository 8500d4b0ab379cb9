package peppergauge.lab.rig;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.lab.history.What;

public class ClientLinkObserverTest {

    private static final byte[] ASKED = "GET /a HTTP/1.1\r\nX-Txn: a.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".getBytes(StandardCharsets.US_ASCII);

    private final EventRecorder recorder = new EventRecorder();
    private final ClientLinkObserver tap = new ClientLinkObserver(recorder, "s1");

    private List<What> recorded() {
        return recorder.history().events().stream().map(event -> event.what()).toList();
    }

    /** A request that comes in two reads is handed on with its last byte, and an answer is read with its last. */
    @Test
    public void onlyWhatWasOnItsWayWasHungUpOn() {
        tap.sent(ASKED, 9);
        tap.passed(ASKED, 9);
        assertEquals(recorded(), List.of());
        byte[] rest = java.util.Arrays.copyOfRange(ASKED, 9, ASKED.length);
        tap.sent(rest, rest.length);
        tap.passed(rest, rest.length);
        tap.said(ANSWER, ANSWER.length);
        assertEquals(recorded(), List.of(What.HANDED, What.REPLIED));
        tap.left();
        assertEquals(recorded().size(), 2);
        tap.sent(ASKED, ASKED.length);
        tap.passed(ASKED, ASKED.length);
        assertEquals(recorded(), List.of(What.HANDED, What.REPLIED, What.HUNG_UP));
    }
}
