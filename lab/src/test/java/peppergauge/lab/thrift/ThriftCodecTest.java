package peppergauge.lab.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;

/** What one end encodes the other decodes to the same message, in each form, and only once it is complete. */
public class ThriftCodecTest {

    private static final String REQUEST = "POST /episode-list/k7 HTTP/1.1\r\nX-Txn: 0a1b\r\nX-Org: acme\r\n"
            + "X-Remaining-Ms: 480\r\nContent-Length: 4\r\n\r\nbody";

    @DataProvider
    public Object[][] cases() {
        String[] forms = {"binary", "old-binary", "compact", "framed-binary", "framed-old-binary", "framed-compact"};
        String[][] answers = {
            {
                "200 OK\r\nX-Pressure: inflight=3,queue=1,latency_ms=7.5",
                "0a1b made",
                "200",
                "inflight=3,queue=1,latency_ms=7.5"
            },
            {"503 Service Unavailable\r\nX-Turned-Away: 1", "", "503", null},
            {"500 Internal Server Error", "", "500", null},
        };
        Object[][] cases = new Object[forms.length * answers.length][];
        for (int i = 0; i < cases.length; i++) {
            cases[i] = new Object[] {forms[i / answers.length], answers[i % answers.length]};
        }
        return cases;
    }

    private static Message transfer(MessageCodec from, MessageCodec to, String http) throws IOException {
        byte[] encoded = from.write(http.getBytes(StandardCharsets.ISO_8859_1));
        for (int size = 0; size < encoded.length; size++) {
            assertNull(to.read(encoded, size), "expected no message from " + size + " of " + encoded.length + " bytes");
        }
        MessageCodec.Taken taken = to.read(encoded, encoded.length);
        assertEquals(taken.bytes(), encoded.length);
        return taken.message();
    }

    @Test(dataProvider = "cases")
    public void roundTripsCallsAndResponses(String form, String[] answer) throws IOException {
        ThriftCodec client = ThriftCodec.of(form);
        ThriftCodec server = ThriftCodec.of(form);
        Message asked = transfer(client, server, REQUEST);
        assertEquals(asked.startLineToken(1), "/episode_list/k7");
        assertEquals(asked.header("X-Txn"), "0a1b");
        assertEquals(asked.header("X-Org"), "acme");
        assertEquals(asked.header("X-Remaining-Ms"), "480");
        assertEquals(asked.text(), "body");
        Message answered = transfer(
                server,
                client,
                "HTTP/1.1 " + answer[0] + "\r\nContent-Length: " + answer[1].length() + "\r\n\r\n" + answer[1]);
        assertEquals(answered.startLineToken(1), answer[2]);
        assertEquals(answered.text(), answer[1]);
        assertEquals(answered.header("X-Pressure"), answer[3]);
    }

    @Test
    public void rejectsOversizedFrame() {
        byte[] huge = {0x7f, 0, 0, 0, 0};
        assertThrows(IOException.class, () -> ThriftCodec.of("framed-compact").read(huge, huge.length));
    }
}
