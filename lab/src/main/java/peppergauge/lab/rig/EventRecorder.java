package peppergauge.lab.rig;

import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.History;

/** Collects the events of all threads and processes of a rig. Thread-safe. */
public final class EventRecorder {

    private final List<Event> events = new ArrayList<>();

    public synchronized void add(Event event) {
        events.add(event);
    }

    /** Records an event with the current time. */
    public void recordNow(EventKind what, String who, String text) {
        add(Event.of(System.nanoTime(), what, who).withText(text));
    }

    /** Records an event from a process's output, whose last line may be truncated. */
    void addLine(String line) {
        try {
            add(Event.read(line));
        } catch (IllegalArgumentException truncated) {
            // The process was killed while it wrote the line; the reported action has not taken place.
        }
    }

    /**
     * Returns all events so far. They are sorted outside of the lock, since the rig's thread must not wait for that
     * during a run.
     */
    public History history() {
        List<Event> snapshot;
        synchronized (this) {
            snapshot = List.copyOf(events);
        }
        return new History(snapshot);
    }
}
