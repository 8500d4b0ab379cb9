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
 * Reads a body in chunks to its last one. At the end of a connection HttpCore's decoder takes what has come of a line
 * for the whole of it: of the size {@code 0a} the {@code 0} alone would end the body.
 */
public final class WholeChunks extends ChunkDecoder {

    private boolean over;

    public WholeChunks(ReadableByteChannel channel, SessionInputBuffer buffer, Http1Config config,
            BasicHttpTransportMetrics metrics) {
        super(channel, buffer, config, metrics);
    }

    /** Keeps from the decoder that nothing more comes. */
    @Override
    protected int fillBufferFromChannel() throws IOException {
        int read = super.fillBufferFromChannel();
        over |= read < 0;
        return Math.max(0, read);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        int read = super.read(into);
        if (over && read == 0 && !isCompleted()) {
            throw new ConnectionClosedException("a body broke off amid its chunks");
        }
        return read;
    }
}
