package peppergauge.lab.rig;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.relay.Tap;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.Speech;

/** Sees on a link between a sidecar and a backend server when attempts go out and how they end. */
final class ServerLinkObserver implements Tap {

    private static final AtomicLong COUNT = new AtomicLong();

    private final EventRecorder recorder;
    private final String sidecar;
    private final String server;
    private final long number = COUNT.incrementAndGet();
    private final Message.Inbox requests = new Message.Inbox(Speech.HTTP);
    private final Message.Inbox answers = new Message.Inbox(Speech.HTTP);
    private long firstNs;
    private String out = "";

    ServerLinkObserver(EventRecorder recorder, String sidecar, String server) {
        this.recorder = recorder;
        this.sidecar = sidecar;
        this.server = server;
        recorder.add(new Event(System.nanoTime(), What.CONNECTED, sidecar, server, "", number, ""));
    }

    @Override
    public void sent(byte[] bytes, int count) {
        if (requests.isEmpty()) {
            firstNs = System.nanoTime();
        }
        for (Message message = next(requests, bytes, count); message != null; message = next(requests, bytes, 0)) {
            String id = message.header("X-Txn");
            if (id != null) {
                out = id;
                recorder.add(new Event(firstNs, What.SENT, sidecar, server, id, number, message.word(0)));
            }
        }
    }

    @Override
    public void told(byte[] bytes, int count) {
        for (Message message = next(answers, bytes, count); message != null; message = next(answers, bytes, 0)) {
            settled("answered");
        }
    }

    @Override
    public void over(boolean byCaller) {
        settled(byCaller ? "closed" : "broken");
    }

    private void settled(String how) {
        if (!out.isEmpty()) {
            recorder.add(new Event(System.nanoTime(), What.SETTLED, sidecar, server, out, number, how));
            out = "";
        }
    }

    private static Message next(Message.Inbox inbox, byte[] bytes, int count) {
        try {
            inbox.add(bytes, count);
            return inbox.next();
        } catch (IOException unreadable) {
            throw new IllegalStateException("no HTTP as the lab speaks it", unreadable);
        }
    }
}
