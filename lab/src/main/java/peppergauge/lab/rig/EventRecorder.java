package peppergauge.lab.rig;

import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.History;
import peppergauge.lab.history.What;

/** Where all threads and processes of a rig write what happened. */
public final class EventRecorder {

    private final List<Event> events = new ArrayList<>();

    /** Any thread. */
    public synchronized void add(Event event) {
        events.add(event);
    }

    /** Something that happened just now. */
    public void recordNow(What what, String who, String text) {
        add(Event.of(System.nanoTime(), what, who).saying(text));
    }

    /** What a process wrote: its last line may be cut off. */
    void addLine(String line) {
        try {
            add(Event.read(line));
        } catch (IllegalArgumentException truncated) {
            // A process that was killed was in the middle of it: what it told of has not happened.
        }
    }

    /** All so far, put in order outside of the lock: the rig's own thread must not wait for that during a run. */
    public History history() {
        List<Event> snapshot;
        synchronized (this) {
            snapshot = List.copyOf(events);
        }
        return new History(snapshot);
    }
}
