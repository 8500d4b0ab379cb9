package peppergauge.snapshot.storage;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records each event as a line: its name and its fields as {@code key=value}, without quotes. */
public final class RecordingEventLog implements EventLog {

    public final List<String> lines = new CopyOnWriteArrayList<>();

    @Override
    public void event(String event, Object... fields) {
        if (fields.length % 2 != 0) {
            throw new AssertionError("the last field of " + event + " must have a value");
        }
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
        lines.add(line.toString());
    }

    /** Returns how many lines contain the text. */
    public long count(String text) {
        return lines.stream().filter(line -> line.contains(text)).count();
    }
}
