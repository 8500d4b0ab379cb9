package peppergauge.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.LargeBodies;

public class ResponseReaderTest {

    private static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    private static ResponseReader reader(int status, String... headers) {
        ResponseReader reader = new ResponseReader(List.of(), LargeBodies.NONE);
        BasicHttpResponse head = new BasicHttpResponse(status);
        for (int i = 0; i < headers.length; i += 2) {
            head.addHeader(headers[i], headers[i + 1]);
        }
        reader.onHead(head);
        return reader;
    }

    /** Only the header proves that the request did not run. */
    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            {reader(200), Outcome.SUCCESS},
            {reader(503), Outcome.ERROR},
            {reader(503, "X-Turned-Away", "1"), Outcome.OVERLOADED},
            {reader(504, "X-Turned-Away", " 1 "), Outcome.OVERLOADED},
            {reader(500, "X-Turned-Away", "1"), Outcome.ERROR},
            {reader(503, "X-Turned-Away", "0"), Outcome.ERROR},
        };
    }

    @Test(dataProvider = "outcomes")
    public void derivesTheOutcomeFromStatusAndHeader(ResponseReader reader, Outcome outcome) {
        assertEquals(reader.outcome(), outcome);
        assertNull(reader.loadReport());
    }

    @Test
    public void collectsABodyUpToTheLimit() {
        ResponseReader reader = reader(200);
        assertTrue(reader.write(ByteBuffer.allocate(MAX_BUFFERED_BODY_BYTES)));
        ByteBuffer more = ByteBuffer.allocate(1);
        assertFalse(reader.write(more));
        assertEquals(more.remaining(), 1);
        assertEquals(reader.message().body().length, MAX_BUFFERED_BODY_BYTES);
    }

    @Test
    public void bodyIsDelimitedByLengthOrChunks() {
        BasicEntityDetails unknown = new BasicEntityDetails(-1, null);
        assertFalse(reader(200).isDelimited(unknown));
        assertTrue(reader(200, "Transfer-Encoding", "chunked").isDelimited(unknown));
        assertTrue(reader(200).isDelimited(new BasicEntityDetails(5, null)));
        assertTrue(reader(200).isDelimited(null));
    }

    @Test
    public void doesNotStreamALargeBodyIfNoneIsAccepted() {
        ResponseReader reader = reader(200);
        assertTrue(reader.isLarge(new BasicEntityDetails(MAX_BUFFERED_BODY_BYTES + 1, null)));
        assertFalse(reader.isLarge(new BasicEntityDetails(MAX_BUFFERED_BODY_BYTES, null)));
        assertFalse(reader.acceptsLargeBody());
        expectThrows(ProtocolException.class, () -> reader.startStreaming(MAX_BUFFERED_BODY_BYTES + 1, () -> {}));
        assertFalse(reader.isStreamed());
    }
}
