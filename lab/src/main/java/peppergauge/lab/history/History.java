package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** All that happened in one run, in the order of its times. Immutable. */
public final class History {

    /** From and to, System.nanoTime. */
    record Span(long fromNs, long toNs) {

        boolean meets(long otherFromNs, long otherToNs) {
            return fromNs <= otherToNs && otherFromNs <= toNs;
        }
    }

    private final List<Event> events;
    private final Map<String, List<Span>> faults = new HashMap<>();
    private final Map<String, List<Span>> still = new HashMap<>();
    private final Map<String, List<Span>> down = new HashMap<>();
    private final Map<String, List<Span>> ending = new HashMap<>();
    private final Map<String, Waits> late = new HashMap<>();
    private final Map<String, Waits> waited = new HashMap<>();

    /** @param recorded in any order, since many processes told them */
    public History(List<Event> recorded) {
        events = recorded.stream().sorted(Comparator.comparingLong(Event::atNs)).toList();
        spans(faults, What.FAULT, What.HEALED);
        spans(still, What.STOPPED, What.CONTINUED);
        spans(down, What.DOWN, What.UP);
        spans(ending, What.TERMINATED, What.UP);
        of(What.LATE)
                .forEach(event -> late.computeIfAbsent(event.who(), who -> new Waits())
                        .add(event.atNs() - event.number() * 1_000_000, event.atNs(), event.number()));
        of(What.WAITED)
                .forEach(event -> waited.computeIfAbsent(event.who(), who -> new Waits())
                        .add(Long.parseLong(event.text()), event.atNs(), event.number()));
    }

    /** What begins and does not end lasts to the end of time; the two of a fault have the same number. */
    private void spans(Map<String, List<Span>> into, What begins, What ends) {
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

    /** In the order of their times. */
    public List<Event> events() {
        return events;
    }

    /** Those of a sort. */
    public Stream<Event> of(What what) {
        return events.stream().filter(event -> event.what() == what);
    }

    /** When something happened first. */
    public Optional<Long> first(What what) {
        return of(what).map(Event::atNs).findFirst();
    }

    /** Whether a link was faulty at any moment of a span. */
    boolean faulty(String link, long fromNs, long toNs) {
        return meets(faults, link, fromNs, toNs);
    }

    /** Whether a process stood still. */
    boolean stood(String process, long fromNs, long toNs) {
        return meets(still, process, fromNs, toNs);
    }

    /** Whether a process was gone. */
    boolean wasDown(String process, long fromNs, long toNs) {
        return meets(down, process, fromNs, toNs);
    }

    /** Whether a process had been told to end at this time, and was not back yet. */
    boolean wasEnding(String process, long atNs) {
        return meets(ending, process, atNs, atNs);
    }

    private static boolean meets(Map<String, List<Span>> spans, String who, long fromNs, long toNs) {
        return spans.getOrDefault(who, List.of()).stream().anyMatch(span -> span.meets(fromNs, toNs));
    }

    /**
     * By how much the machine let the lab wait in a span, ms: of the lab's threads and processes the one that waited
     * most, since a sidecar on the same CPUs waited as they did.
     */
    double lateMs(long fromNs, long toNs) {
        return late.values().stream()
                .mapToDouble(one -> one.meetingMs(fromNs, toNs))
                .max()
                .orElse(0);
    }

    /** By how much the machine let the lab, or this process itself, wait in a span, ms: the longer of the two. */
    double lateMs(String process, long fromNs, long toNs) {
        return Math.max(lateMs(fromNs, toNs), waitedMs(process, fromNs, toNs));
    }

    /** For how long a process was ready to run in a span and got no CPU, ms; looks that reach beyond it count whole. */
    double waitedMs(String process, long fromNs, long toNs) {
        return waited.containsKey(process) ? waited.get(process).meetingMs(fromNs, toNs) : 0;
    }
}
