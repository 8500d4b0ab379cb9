package peppergauge.lab.rig;

import java.io.IOException;
import java.util.Arrays;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.relay.ConnectionObserver;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;

/**
 * Records on a link between clients and their sidecar when the sidecar received a request and when it responded. The
 * rest of a request's time is that of the rig, whose single thread forwards every byte.
 */
final class ClientLinkObserver implements ConnectionObserver {

    private final EventRecorder recorder;
    private final String sidecar;
    private final Message.Inbox requests = new Message.Inbox(MessageCodec.HTTP);
    private final Message.Inbox responses = new Message.Inbox(MessageCodec.HTTP);
    /** Bytes that a client sent last, and the number of all its bytes not yet forwarded to the sidecar. */
    private byte[] lastBytes = {};

    private long unforwardedBytes;
    private String requestId = "";
    private long idleSinceNs = System.nanoTime();
    private long sidecarClosedNs;
    private boolean parsing = true;

    ClientLinkObserver(EventRecorder recorder, String sidecar) {
        this.recorder = recorder;
        this.sidecar = sidecar;
    }

    @Override
    public void onClientBytesRead(byte[] bytes, int count) {
        lastBytes = Arrays.copyOf(bytes, count);
        unforwardedBytes += count;
        if (sidecarClosedNs != 0) {
            recordConnectionClosed();
        }
    }

    @Override
    public void onServerBytesWritten(byte[] bytes, int count) {
        if (sidecarClosedNs != 0) {
            // The system accepts bytes for a socket whose far end has closed; the sidecar never receives them.
            return;
        }
        unforwardedBytes -= count;
        Message request = next(requests, bytes, count);
        if (request != null && request.header("X-Txn") != null) {
            requestId = request.header("X-Txn");
            recorder.add(
                    new Event(System.nanoTime(), EventKind.HANDED, TopologyNames.CLIENTS, sidecar, requestId, 0, ""));
        }
    }

    @Override
    public void onServerBytesRead(byte[] bytes, int count) {
        Message response = next(responses, bytes, count);
        if (response != null && !requestId.isEmpty()) {
            recorder.add(new Event(
                    System.nanoTime(), EventKind.REPLIED, sidecar, "", requestId, 0, response.startLineToken(1)));
            requestId = "";
            idleSinceNs = System.nanoTime();
        }
    }

    @Override
    public void onServerClosed() {
        sidecarClosedNs = System.nanoTime();
        if (unforwardedBytes > 0) {
            recordConnectionClosed();
        }
    }

    /**
     * Records that the sidecar closed a connection with a request that it had not received, and how long the connection
     * had been idle then.
     */
    private void recordConnectionClosed() {
        Message request = next(new Message.Inbox(MessageCodec.HTTP), lastBytes, lastBytes.length);
        if (request != null && request.header("X-Txn") != null) {
            recorder.add(new Event(
                    sidecarClosedNs,
                    EventKind.HUNG_UP,
                    sidecar,
                    "",
                    request.header("X-Txn"),
                    (sidecarClosedNs - idleSinceNs) / 1_000_000,
                    ""));
        }
    }

    /** Parses no more after malformed bytes; their receiver handles them. */
    private Message next(Message.Inbox inbox, byte[] bytes, int count) {
        try {
            if (parsing) {
                inbox.add(bytes, count);
                return inbox.next();
            }
        } catch (IOException malformed) {
            parsing = false;
        }
        return null;
    }
}
