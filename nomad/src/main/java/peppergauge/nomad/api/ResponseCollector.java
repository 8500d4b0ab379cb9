package peppergauge.nomad.api;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpStatus;

/** Collects a response body up to a maximum size. Called on the event loop's thread. */
public abstract class ResponseCollector implements ResponseHandler {

    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private ResponseHead head;

    /**
     * Creates a collector for one response.
     *
     * @param maxBytes body size above which the response fails
     */
    protected ResponseCollector(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public final void onHead(ResponseHead received) {
        head = received;
    }

    @Override
    public final void onBody(ByteBuffer part) throws IOException {
        if (bytes.size() + part.remaining() > maxBytes) {
            throw new IOException("a response over " + maxBytes + " bytes");
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.write(copy);
    }

    @Override
    public final void onComplete() {
        if (head.status() == HttpStatus.SC_OK) {
            onSuccess(head, bytes.toByteArray());
        } else {
            onErrorStatus(head);
        }
    }

    @Override
    public final void onFailure(String error) {
        onNoResponse(error);
    }

    /** A complete response with status 200 was received. */
    protected abstract void onSuccess(ResponseHead received, byte[] body);

    /** A complete response with any other status was received. */
    protected abstract void onErrorStatus(ResponseHead received);

    /** No complete response was received. */
    protected abstract void onNoResponse(String error);
}
