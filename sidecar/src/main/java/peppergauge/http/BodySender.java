package peppergauge.http;

import java.io.IOException;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import peppergauge.request.BodyStream;

/**
 * Writes a streamed body to a connection as it arrives and as the peer accepts it. Only the event loop's thread uses
 * it.
 */
public final class BodySender {

    private final BodyStream.Reader reader;
    private final Runnable onBroken;
    private DataStreamChannel channel;
    private boolean written;

    /**
     * Starts reading the body.
     *
     * @param onBroken called when the rest will not arrive or the peer has stopped reading; never called inside a call
     *     of this object
     */
    public BodySender(BodyStream body, Runnable onBroken) {
        this.onBroken = onBroken;
        reader = body.openReader(this::onReadable);
    }

    private void onReadable() {
        if (isBroken()) {
            onBroken.run();
        } else if (channel != null) {
            channel.requestOutput();
        }
    }

    /** Number of bytes that can be written now; 1 if only the end of the body is left to write. */
    public int available() {
        return reader.end() == BodyStream.End.COMPLETE && !written ? 1 : reader.available();
    }

    /**
     * Writes the bytes that have arrived.
     *
     * @return whether this call has written the last byte
     */
    public boolean produce(DataStreamChannel output) throws IOException {
        channel = output;
        reader.transferTo(output::write);
        if (reader.end() != BodyStream.End.COMPLETE || written) {
            return false;
        }
        written = true;
        output.endStream();
        return true;
    }

    /** Whether the last byte is written; until then the peer cannot have the complete body. */
    public boolean isWritten() {
        return written;
    }

    /** Returns how the body ended; null while it has not. */
    public BodyStream.End end() {
        return reader.end();
    }

    private boolean isBroken() {
        return reader.end() != null && reader.end() != BodyStream.End.COMPLETE;
    }

    /** Reads nothing more of the body. */
    public void cancel() {
        reader.cancel();
    }
}
