package peppergauge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Decodes a chunked body so that only its last chunk completes it, and all bytes before a failure are delivered.
 *
 * <p>HttpCore's decoder treats a truncated line as complete: if only the {@code 0} of the chunk size {@code 0a}
 * arrives, it ends the body. If the end of the connection or a reset arrives in the same read as a chunk, it fails and
 * loses that chunk.
 */
public final class StrictChunkDecoder extends ChunkDecoder {

    /** The end of the connection, thrown after all input before it is decoded; null while the connection is open. */
    private IOException end;

    /** Creates a decoder for one body. */
    public StrictChunkDecoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            Http1Config config,
            BasicHttpTransportMetrics metrics) {
        super(channel, buffer, config, metrics);
    }

    /** Reads without reporting the end of the connection to the decoder. */
    @Override
    protected int fillBufferFromChannel() throws IOException {
        if (end != null) {
            return 0;
        }
        try {
            int read = super.fillBufferFromChannel();
            if (read < 0) {
                end = new ConnectionClosedException("the connection ended within a chunked body");
            }
            return Math.max(0, read);
        } catch (IOException reset) {
            end = reset;
            return 0;
        }
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        int read = super.read(into);
        if (end != null && read == 0 && !isCompleted()) {
            throw end;
        }
        return read;
    }
}
