package peppergauge.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.request.Message;

public class RequestWriterTest {

    private HttpRequest head;
    private EntityDetails details;

    @BeforeMethod
    public void clear() {
        head = null;
        details = null;
    }

    private RequestWriter start(byte[] body, double remainingMs) throws HttpException, IOException {
        RequestWriter writer = new RequestWriter(
                new Message("POST", "/a/b", List.of(new Message.Field("X-Remaining-Ms", "900")), body));
        writer.start(
                (request, entity, context) -> {
                    head = request;
                    details = entity;
                },
                null,
                remainingMs,
                () -> {});
        return writer;
    }

    @Test
    public void replacesTheClientsRemainingTimeByTheAttempts() throws HttpException, IOException {
        RequestWriter writer = start(new byte[0], 41.9);
        assertEquals(head.getHeaders("X-Remaining-Ms").length, 1);
        assertEquals(head.getFirstHeader("X-Remaining-Ms").getValue(), "41");
        assertNull(details);
        assertTrue(writer.isWritten());
    }

    @Test
    public void isWrittenAfterTheLastByte() throws HttpException, IOException {
        RequestWriter writer = start(new byte[5], 10);
        assertEquals(head.getFirstHeader("Content-Length").getValue(), "5");
        assertEquals(writer.available(), 5);
        Output output = new Output(3);
        writer.produce(output);
        assertFalse(writer.isWritten());
        assertFalse(output.ended);
        writer.produce(output);
        assertTrue(writer.isWritten());
        assertTrue(output.ended);
        assertFalse(writer.isTruncated());
    }

    /** Accepts a limited number of bytes per write. */
    private static final class Output implements DataStreamChannel {

        private final int maxBytesPerWrite;
        private boolean ended;

        Output(int maxBytesPerWrite) {
            this.maxBytesPerWrite = maxBytesPerWrite;
        }

        @Override
        public void requestOutput() {}

        @Override
        public int write(ByteBuffer from) {
            int bytes = Math.min(maxBytesPerWrite, from.remaining());
            from.position(from.position() + bytes);
            return bytes;
        }

        @Override
        public void endStream() {
            ended = true;
        }

        @Override
        public void endStream(List<? extends Header> trailers) {
            ended = true;
        }
    }
}
