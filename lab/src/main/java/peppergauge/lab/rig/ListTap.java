package peppergauge.lab.rig;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.relay.Tap;

/** Sees on a link to discovery what that sidecar was told, once the last byte of a row is written to it. */
final class ListTap implements Tap {

    private static final Pattern ROW = Pattern.compile("\\{\"id\":\"([^\"]+)\"[^{}]*\"state\":\"([a-z]+)\"[^{}]*\\}");

    private final Recorder recorder;
    private final String sidecar;
    private final StringBuilder text = new StringBuilder();

    ListTap(Recorder recorder, String sidecar) {
        this.recorder = recorder;
        this.sidecar = sidecar;
    }

    @Override
    public void told(byte[] bytes, int count) {
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
