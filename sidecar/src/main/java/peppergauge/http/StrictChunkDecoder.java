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
 * Reads a body in chunks to its last one, and hands on all that came before it broke off. HttpCore's decoder takes
 * what has come of a line for the whole of it at the end of a connection (of the size {@code 0a} the {@code 0} alone
 * would end the body), and where it meets the end or a reset in the same call as a chunk, it fails and the chunk is
 * lost with it.
 */
public final class StrictChunkDecoder extends ChunkDecoder {

    /** What ended the connection, until all that had come before it is read; null while it is open. */
    private IOException end;

    public StrictChunkDecoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            Http1Config config,
            BasicHttpTransportMetrics metrics) {
        super(channel, buffer, config, metrics);
    }

    /** Keeps from the decoder that nothing more comes. */
    @Override
    protected int fillBufferFromChannel() throws IOException {
        if (end != null) {
            return 0;
        }
        try {
            int read = super.fillBufferFromChannel();
            if (read < 0) {
                end = new ConnectionClosedException("a body broke off amid its chunks");
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
