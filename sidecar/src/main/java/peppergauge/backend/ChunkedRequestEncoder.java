package peppergauge.backend;

import java.io.IOException;
import java.nio.channels.WritableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkEncoder;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;

/**
 * Writes a request's body in chunks, and the last chunk only after the last byte. When an error response arrives while
 * the body is sent, HttpCore would write the last chunk, and the server would treat the truncated body as complete.
 */
final class ChunkedRequestEncoder extends ChunkEncoder {

    /** HttpCore's default; with 0 each part would be sent in a separate packet. */
    private static final int CHUNK_SIZE_HINT_BYTES = 2048;

    private final HttpExchange exchange;

    ChunkedRequestEncoder(
            WritableByteChannel channel,
            SessionOutputBuffer buffer,
            BasicHttpTransportMetrics metrics,
            HttpExchange exchange) {
        super(channel, buffer, metrics, CHUNK_SIZE_HINT_BYTES);
        this.exchange = exchange;
    }

    @Override
    public void complete(List<? extends Header> trailers) throws IOException {
        if (exchange.isRequestWritten()) {
            super.complete(trailers);
        }
    }
}
