package peppergauge.http;

import java.io.IOException;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import peppergauge.request.BodyStream;

/** Writes a flow to a connection as it comes and as the other side takes it. */
public final class BodySender {

    private final BodyStream.Reader reading;
    private final Runnable broken;
    private DataStreamChannel channel;
    private boolean written;

    /** {@code broken}: called when the rest never comes, or this side is given up; never from inside these calls. */
    public BodySender(BodyStream flow, Runnable broken) {
        this.broken = broken;
        reading = flow.openReader(this::more);
    }

    private void more() {
        if (isCutShort()) {
            broken.run();
        } else if (channel != null) {
            channel.requestOutput();
        }
    }

    public int available() {
        return reading.end() == BodyStream.End.COMPLETE && !written ? 1 : reading.available();
    }

    /** Writes what is there; true once the last byte went to the connection, by this call. */
    public boolean produce(DataStreamChannel to) throws IOException {
        channel = to;
        reading.transferTo(to::write);
        if (reading.end() != BodyStream.End.COMPLETE || written) {
            return false;
        }
        written = true;
        to.endStream();
        return true;
    }

    /** Whether the last byte went to the connection: before that the other side surely does not have it. */
    public boolean isWritten() {
        return written;
    }

    /** Null until the reading is over. */
    public BodyStream.End end() {
        return reading.end();
    }

    private boolean isCutShort() {
        return reading.end() != null && reading.end() != BodyStream.End.COMPLETE;
    }

    public void cancel() {
        reading.cancel();
    }
}
