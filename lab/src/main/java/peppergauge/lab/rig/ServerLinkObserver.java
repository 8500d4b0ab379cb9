package peppergauge.lab.rig;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.relay.ConnectionObserver;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;

/** Records on a link between a sidecar and a backend server when attempts are sent and how they end. */
final class ServerLinkObserver implements ConnectionObserver {

    private static final AtomicLong COUNT = new AtomicLong();

    private final EventRecorder recorder;
    private final String sidecar;
    private final String server;
    private final long connectionNumber = COUNT.incrementAndGet();
    private final Message.Inbox requests = new Message.Inbox(MessageCodec.HTTP);
    private final Message.Inbox responses = new Message.Inbox(MessageCodec.HTTP);
    private long firstNs;
    private String requestId = "";

    ServerLinkObserver(EventRecorder recorder, String sidecar, String server) {
        this.recorder = recorder;
        this.sidecar = sidecar;
        this.server = server;
        recorder.add(new Event(System.nanoTime(), EventKind.CONNECTED, sidecar, server, "", connectionNumber, ""));
    }

    @Override
    public void onClientBytesRead(byte[] bytes, int count) {
        if (requests.isEmpty()) {
            firstNs = System.nanoTime();
        }
        for (Message message = next(requests, bytes, count); message != null; message = next(requests, bytes, 0)) {
            String id = message.header("X-Txn");
            if (id != null) {
                requestId = id;
                recorder.add(new Event(
                        firstNs, EventKind.SENT, sidecar, server, id, connectionNumber, message.startLineToken(0)));
            }
        }
    }

    @Override
    public void onClientBytesWritten(byte[] bytes, int count) {
        for (Message message = next(responses, bytes, count); message != null; message = next(responses, bytes, 0)) {
            recordSettled("answered");
        }
    }

    @Override
    public void onClientEnded(boolean byCaller) {
        recordSettled(byCaller ? "closed" : "broken");
    }

    private void recordSettled(String how) {
        if (!requestId.isEmpty()) {
            recorder.add(
                    new Event(System.nanoTime(), EventKind.SETTLED, sidecar, server, requestId, connectionNumber, how));
            requestId = "";
        }
    }

    private Message next(Message.Inbox inbox, byte[] bytes, int count) {
        try {
            inbox.add(bytes, count);
            return inbox.next();
        } catch (IOException malformed) {
            throw new IllegalStateException(
                    "malformed HTTP message on the link of " + sidecar + " to " + server, malformed);
        }
    }
}
