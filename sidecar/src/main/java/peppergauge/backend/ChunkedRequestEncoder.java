package peppergauge.backend;

import java.io.IOException;
import java.nio.channels.WritableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkEncoder;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;

/**
 * Writes a request's body in chunks, and the last chunk only after its last byte. To an error that comes while the body
 * is still being sent, HttpCore answers with the last chunk by itself: the server would take what it has for a whole
 * body.
 */
final class ChunkedRequestEncoder extends ChunkEncoder {

    /** HttpCore's own; 0 would write each part in a packet of its own. */
    private static final int HINT = 2048;

    private final HttpExchange exchange;

    ChunkedRequestEncoder(
            WritableByteChannel channel,
            SessionOutputBuffer buffer,
            BasicHttpTransportMetrics metrics,
            HttpExchange exchange) {
        super(channel, buffer, metrics, HINT);
        this.exchange = exchange;
    }

    @Override
    public void complete(List<? extends Header> trailers) throws IOException {
        if (exchange.isWritten()) {
            super.complete(trailers);
        }
    }
}
