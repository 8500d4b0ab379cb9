package peppergauge.fleet.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.nio.entity.AbstractBinAsyncEntityConsumer;

/** Holds a body of so many bytes; of a longer one nothing, and one without end closes the connection. */
final class BoundedBody extends AbstractBinAsyncEntityConsumer<BoundedBody.Content> {

    /** So much more is read to no use, for the sender to get its answer. */
    private static final int PATIENCE = 4;

    private final int most;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private long length;

    /** @param bytes null where it was too long */
    record Content(byte[] bytes) {}

    BoundedBody(int most) {
        this.most = most;
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
        if (length > (long) most * PATIENCE) {
            throw new IOException("a body of over " + most + " bytes");
        }
        if (length > most) {
            held.reset();
            part.position(part.limit());
            return;
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        held.writeBytes(bytes);
    }

    @Override
    protected Content generateContent() {
        return new Content(length > most ? null : held.toByteArray());
    }

    @Override
    public void releaseResources() {
        held.reset();
    }
}
