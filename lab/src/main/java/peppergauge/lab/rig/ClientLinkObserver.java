package peppergauge.lab.rig;

import java.io.IOException;
import java.util.Arrays;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.relay.Tap;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.Speech;

/**
 * Sees on a link between clients and their sidecar when it had a request and when it answered. What a session waited
 * beyond that it waited for the rig, whose one thread carries every byte.
 */
final class ClientLinkObserver implements Tap {

    private final EventRecorder recorder;
    private final String sidecar;
    private final Message.Inbox requests = new Message.Inbox(Speech.HTTP);
    private final Message.Inbox responses = new Message.Inbox(Speech.HTTP);
    /** What a client sent last, and how much of all it sent is still on its way to the sidecar. */
    private byte[] lastBytes = {};

    private long unforwardedBytes;
    private String requestId = "";
    private long idleSinceNs = System.nanoTime();
    private long sidecarClosedNs;
    private boolean readable = true;

    ClientLinkObserver(EventRecorder recorder, String sidecar) {
        this.recorder = recorder;
        this.sidecar = sidecar;
    }

    @Override
    public void sent(byte[] bytes, int count) {
        lastBytes = Arrays.copyOf(bytes, count);
        unforwardedBytes += count;
        if (sidecarClosedNs != 0) {
            recordHungUp();
        }
    }

    @Override
    public void passed(byte[] bytes, int count) {
        if (sidecarClosedNs != 0) {
            // The system takes what is written to a socket whose far end has closed; the sidecar never has it.
            return;
        }
        unforwardedBytes -= count;
        Message request = next(requests, bytes, count);
        if (request != null && request.header("X-Txn") != null) {
            requestId = request.header("X-Txn");
            recorder.add(new Event(System.nanoTime(), What.HANDED, TopologyNames.CLIENTS, sidecar, requestId, 0, ""));
        }
    }

    @Override
    public void said(byte[] bytes, int count) {
        Message response = next(responses, bytes, count);
        if (response != null && !requestId.isEmpty()) {
            recorder.add(new Event(System.nanoTime(), What.REPLIED, sidecar, "", requestId, 0, response.word(1)));
            requestId = "";
            idleSinceNs = System.nanoTime();
        }
    }

    @Override
    public void left() {
        sidecarClosedNs = System.nanoTime();
        if (unforwardedBytes > 0) {
            recordHungUp();
        }
    }

    /** Of a request that its sidecar has not had: how long nothing had been asked when it closed. */
    private void recordHungUp() {
        Message request = next(new Message.Inbox(Speech.HTTP), lastBytes, lastBytes.length);
        if (request != null && request.header("X-Txn") != null) {
            recorder.add(new Event(
                    sidecarClosedNs,
                    What.HUNG_UP,
                    sidecar,
                    "",
                    request.header("X-Txn"),
                    (sidecarClosedNs - idleSinceNs) / 1_000_000,
                    ""));
        }
    }

    /** What cannot be read is its client's to judge; here nothing more is looked at. */
    private Message next(Message.Inbox inbox, byte[] bytes, int count) {
        try {
            if (readable) {
                inbox.add(bytes, count);
                return inbox.next();
            }
        } catch (IOException unreadable) {
            readable = false;
        }
        return null;
    }
}
