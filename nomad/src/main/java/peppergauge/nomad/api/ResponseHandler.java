package peppergauge.nomad.api;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Receives one response, on the event loop's thread. {@link #onComplete} or {@link #onFailure} is called once, and
 * nothing after it.
 */
public interface ResponseHandler {

    /**
     * Receives the head of the response.
     *
     * @throws IOException if the call is to fail with this error
     */
    void onHead(ResponseHead head) throws IOException;

    /**
     * Receives the next part of the body.
     *
     * @throws IOException if the call is to fail with this error
     */
    void onBody(ByteBuffer part) throws IOException;

    /** The response is complete. */
    void onComplete();

    /** The call failed before the response was complete. */
    void onFailure(String error);
}
