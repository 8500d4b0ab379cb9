package peppergauge.nomad.api;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Collects a complete response body up to a maximum size. */
public abstract class ResponseCollector implements ResponseHandler {

    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private ResponseHead head;

    /** @param maxBytes size above which the response fails */
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
        if (head.status() == 200) {
            onSuccess(head, bytes.toByteArray());
        } else {
            onErrorStatus(head);
        }
    }

    @Override
    public final void onFailure(String error) {
        onNoResponse(error);
    }

    /** A complete response with status 200. */
    protected abstract void onSuccess(ResponseHead received, byte[] body);

    /** A response with any other status. */
    protected abstract void onErrorStatus(ResponseHead received);

    /** No complete response. */
    protected abstract void onNoResponse(String error);
}
