package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** All events of one run, ordered by time. Immutable. */
public final class History {

    /** A span of time, both ends included; times as of System.nanoTime. */
    record Span(long fromNs, long toNs) {

        boolean overlaps(long otherFromNs, long otherToNs) {
            return fromNs <= otherToNs && otherFromNs <= toNs;
        }
    }

    private final List<Event> events;
    private final Map<String, List<Span>> faults = new HashMap<>();
    private final Map<String, List<Span>> pauses = new HashMap<>();
    private final Map<String, List<Span>> downtimes = new HashMap<>();
    private final Map<String, List<Span>> terminations = new HashMap<>();
    private final Map<String, Delays> labDelays = new HashMap<>();
    private final Map<String, Delays> cpuWaits = new HashMap<>();

    /** @param recorded events of all processes, in any order */
    public History(List<Event> recorded) {
        events = recorded.stream().sorted(Comparator.comparingLong(Event::atNs)).toList();
        addSpans(faults, EventKind.FAULT, EventKind.HEALED);
        addSpans(pauses, EventKind.STOPPED, EventKind.CONTINUED);
        addSpans(downtimes, EventKind.DOWN, EventKind.UP);
        addSpans(terminations, EventKind.TERMINATED, EventKind.UP);
        of(EventKind.LATE)
                .forEach(event -> labDelays
                        .computeIfAbsent(event.who(), who -> new Delays())
                        .add(event.atNs() - event.number() * 1_000_000, event.atNs(), event.number()));
        of(EventKind.WAITED)
                .forEach(event -> cpuWaits.computeIfAbsent(event.who(), who -> new Delays())
                        .add(Long.parseLong(event.text()), event.atNs(), event.number()));
    }

    /**
     * Adds the spans between two kinds of events of one process or link. A span that does not end is unbounded; the
     * begin and the end of a fault have the same id.
     */
    private void addSpans(Map<String, List<Span>> into, EventKind begins, EventKind ends) {
        Map<String, Long> open = new HashMap<>();
        for (Event event : events) {
            String key = event.who() + ' ' + event.id();
            if (event.what() == begins) {
                open.putIfAbsent(key, event.atNs());
            } else if (event.what() == ends && open.containsKey(key)) {
                add(into, event.who(), open.remove(key), event.atNs());
            }
        }
        open.forEach((key, fromNs) -> add(into, key.substring(0, key.indexOf(' ')), fromNs, Long.MAX_VALUE));
    }

    private static void add(Map<String, List<Span>> into, String who, long fromNs, long toNs) {
        into.computeIfAbsent(who, name -> new ArrayList<>()).add(new Span(fromNs, toNs));
    }

    /** Returns all events, ordered by time. */
    public List<Event> events() {
        return events;
    }

    /** Returns the events of a kind, ordered by time. */
    public Stream<Event> of(EventKind what) {
        return events.stream().filter(event -> event.what() == what);
    }

    /** Returns the time of the first event of a kind. */
    public Optional<Long> first(EventKind what) {
        return of(what).map(Event::atNs).findFirst();
    }

    /** Returns whether a link had a fault at any time of a span. */
    boolean hadFault(String link, long fromNs, long toNs) {
        return anyOverlaps(faults, link, fromNs, toNs);
    }

    /** Returns whether a process was paused at any time of a span. */
    boolean wasPaused(String process, long fromNs, long toNs) {
        return anyOverlaps(pauses, process, fromNs, toNs);
    }

    /** Returns whether a process was down at any time of a span. */
    boolean wasDown(String process, long fromNs, long toNs) {
        return anyOverlaps(downtimes, process, fromNs, toNs);
    }

    /** Returns whether a process had been sent SIGTERM at this time and was not up again. */
    boolean wasTerminating(String process, long atNs) {
        return anyOverlaps(terminations, process, atNs, atNs);
    }

    private static boolean anyOverlaps(Map<String, List<Span>> spans, String who, long fromNs, long toNs) {
        return spans.getOrDefault(who, List.of()).stream().anyMatch(span -> span.overlaps(fromNs, toNs));
    }

    /**
     * Returns the scheduling delay of the lab in a span, in ms: that of the thread or process of the lab which was
     * delayed most, since a sidecar on the same CPUs is delayed alike.
     */
    double labDelayMs(long fromNs, long toNs) {
        return labDelays.values().stream()
                .mapToDouble(delays -> delays.overlappingMs(fromNs, toNs))
                .max()
                .orElse(0);
    }

    /** Returns the larger of the lab's scheduling delay and this process's wait for a CPU in a span, in ms. */
    double delayMs(String process, long fromNs, long toNs) {
        return Math.max(labDelayMs(fromNs, toNs), cpuWaitMs(process, fromNs, toNs));
    }

    /**
     * Returns how long a process was ready to run and got no CPU in a span, in ms. Measurements that reach beyond the
     * span count in full.
     */
    double cpuWaitMs(String process, long fromNs, long toNs) {
        return cpuWaits.containsKey(process) ? cpuWaits.get(process).overlappingMs(fromNs, toNs) : 0;
    }
}
