package peppergauge.lab.rig;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.relay.Tap;

/** Sees on a link to discovery each call, and what its sidecar was told once a row's last byte is written to it. */
final class DiscoveryLinkObserver implements Tap {

    private static final Pattern ROW = Pattern.compile("\\{\"id\":\"([^\"]+)\"[^{}]*\"state\":\"([a-z]+)\"[^{}]*\\}");

    private static final AtomicLong COUNT = new AtomicLong();

    private final EventRecorder recorder;
    private final String sidecar;
    private final long number = COUNT.incrementAndGet();
    private boolean called;
    private boolean ended;
    private final StringBuilder text = new StringBuilder();

    DiscoveryLinkObserver(EventRecorder recorder, String sidecar) {
        this.recorder = recorder;
        this.sidecar = sidecar;
    }

    /** A connection on which nothing is asked is no call. */
    @Override
    public void sent(byte[] bytes, int count) {
        if (!called) {
            called = true;
            record(What.CALLED, "");
        }
    }

    @Override
    public void over(boolean byCaller) {
        ended(byCaller ? "closed" : "broken");
    }

    private void ended(String how) {
        if (called && !ended) {
            ended = true;
            record(What.CALL_ENDED, how);
        }
    }

    private void record(What what, String how) {
        recorder.add(new Event(System.nanoTime(), what, sidecar, TopologyNames.DISCOVERY, "", number, how));
    }

    @Override
    public void told(byte[] bytes, int count) {
        ended("answered");
        text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
        Matcher row = ROW.matcher(text);
        int end = 0;
        while (row.find()) {
            end = row.end();
            recorder.add(new Event(System.nanoTime(), What.TOLD, sidecar, row.group(1), "", 0, row.group(2)));
        }
        text.delete(0, end);
    }
}
