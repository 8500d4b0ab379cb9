package peppergauge.fleet.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.nio.entity.AbstractBinAsyncEntityConsumer;

/** Collects a request body up to a limit. Discards a longer body; a very long one closes the connection. */
final class BoundedBody extends AbstractBinAsyncEntityConsumer<BoundedBody.Content> {

    /** Multiple of the limit up to which an oversized body is read, so that its sender receives a response. */
    private static final int DISCARD_FACTOR = 4;

    private final int maxBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private long length;

    /**
     * A collected body.
     *
     * @param bytes the body, null if it was too long
     */
    record Content(byte[] bytes) {}

    BoundedBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    protected void streamStart(ContentType type) {}

    @Override
    protected int capacityIncrement() {
        return Integer.MAX_VALUE;
    }

    @Override
    protected void data(ByteBuffer part, boolean last) throws IOException {
        length += part.remaining();
        if (length > (long) maxBytes * DISCARD_FACTOR) {
            throw new IOException("request body has at least " + length + " bytes, expected at most " + maxBytes);
        }
        if (length > maxBytes) {
            buffer.reset();
            part.position(part.limit());
            return;
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        buffer.writeBytes(bytes);
    }

    @Override
    protected Content generateContent() {
        return new Content(length > maxBytes ? null : buffer.toByteArray());
    }

    @Override
    public void releaseResources() {
        buffer.reset();
    }
}
