package peppergauge.lab.rig;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.relay.ConnectionObserver;

/**
 * Records on a link to discovery each call, and each endpoint that the sidecar is told once the last byte of the
 * endpoint's JSON is written to it.
 */
final class DiscoveryLinkObserver implements ConnectionObserver {

    private static final Pattern ENDPOINT_ROW =
            Pattern.compile("\\{\"id\":\"([^\"]+)\"[^{}]*\"state\":\"([a-z]+)\"[^{}]*\\}");

    private static final AtomicLong COUNT = new AtomicLong();

    private final EventRecorder recorder;
    private final String sidecar;
    private final long connectionNumber = COUNT.incrementAndGet();
    private boolean callRecorded;
    private boolean ended;
    private final StringBuilder text = new StringBuilder();

    DiscoveryLinkObserver(EventRecorder recorder, String sidecar) {
        this.recorder = recorder;
        this.sidecar = sidecar;
    }

    /** Records a call with its first byte; a connection without a request is not a call. */
    @Override
    public void onClientBytesRead(byte[] bytes, int count) {
        if (!callRecorded) {
            callRecorded = true;
            record(EventKind.CALLED, "");
        }
    }

    @Override
    public void onClientEnded(boolean byCaller) {
        recordCallEnd(byCaller ? "closed" : "broken");
    }

    private void recordCallEnd(String how) {
        if (callRecorded && !ended) {
            ended = true;
            record(EventKind.CALL_ENDED, how);
        }
    }

    private void record(EventKind what, String how) {
        recorder.add(new Event(System.nanoTime(), what, sidecar, TopologyNames.DISCOVERY, "", connectionNumber, how));
    }

    @Override
    public void onClientBytesWritten(byte[] bytes, int count) {
        recordCallEnd("answered");
        text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
        Matcher rowMatcher = ENDPOINT_ROW.matcher(text);
        int end = 0;
        while (rowMatcher.find()) {
            end = rowMatcher.end();
            recorder.add(new Event(
                    System.nanoTime(), EventKind.TOLD, sidecar, rowMatcher.group(1), "", 0, rowMatcher.group(2)));
        }
        text.delete(0, end);
    }
}
