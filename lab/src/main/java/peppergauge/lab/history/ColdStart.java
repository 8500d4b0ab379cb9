package peppergauge.lab.history;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What a common start cost, as a history has it; figures for people, and no rule. All counts from the first start of a
 * process after the first fault, or from the very first start where there was no fault; times are seconds from there,
 * infinite for what did not happen.
 *
 * @param calls to discovery
 * @param peakCalls most of them in any one second
 * @param meanCalls a second, until 99% of the sidecars were told
 * @param openCalls most that waited for an answer at once
 * @param toldS when 99% of the sidecars had been told of a server since they were started
 * @param handshakes most connections to backend servers in any one second
 * @param sessions how they ended, by count: asked, served, denied (503 and 429), refused (no sidecar there), failed
 * @param usualS when a second began from which on each one served 99% of the usual share: that in the
 *        second half of the time before the first fault
 * @param readyS how long sidecars took to be ready, from the start of each, ascending
 * @param allReadyS when the last one was ready for the first time
 */
public record ColdStart(
        long calls,
        int peakCalls,
        double meanCalls,
        int openCalls,
        double toldS,
        int handshakes,
        Map<String, Long> sessions,
        double usualS,
        List<Double> readyS,
        double allReadyS) {

    private static final double PART = 0.99;
    private static final long SECOND_NS = 1_000_000_000;
    /** Under so many sessions a second says nothing. */
    private static final int FEWEST = 20;

    /** Of a whole history. */
    public static ColdStart of(History history) {
        long faultNs = history.first(What.FAULT).orElse(Long.MIN_VALUE);
        long fromNs = history.of(What.STARTED)
                .map(Event::atNs)
                .filter(at -> at >= faultNs)
                .findFirst()
                .orElse(Math.max(faultNs, 0));
        long endNs = history.first(What.END)
                .orElseGet(() -> history.events().isEmpty()
                        ? fromNs
                        : history.events().get(history.events().size() - 1).atNs());
        Set<String> sidecars = history.of(What.ASKED).map(Event::whom).collect(Collectors.toSet());
        double toldS = toldS(history, fromNs, sidecars);
        List<Long> calls = since(history, What.CALLED, fromNs, endNs);
        double spanS = Math.min(toldS, (endNs - fromNs) / 1e9);
        Map<String, Double> ready = new TreeMap<>();
        List<Double> took = ready(history, fromNs, sidecars, ready);
        return new ColdStart(
                calls.size(),
                most(calls),
                calls.stream().filter(at -> at - fromNs <= spanS * 1e9).count() / Math.max(1e-3, spanS),
                mostOpen(history, fromNs, endNs),
                toldS,
                most(since(history, What.CONNECTED, fromNs, endNs)),
                sessions(history, fromNs),
                usualS(history, faultNs, fromNs, endNs),
                took,
                ready.values().stream().mapToDouble(at -> at).max().orElse(Double.POSITIVE_INFINITY));
    }

    private static List<Long> since(History history, What what, long fromNs, long endNs) {
        return history.of(what)
                .map(Event::atNs)
                .filter(at -> at >= fromNs && at <= endNs)
                .toList();
    }

    /** In any one second of ascending times. */
    private static int most(List<Long> atNs) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < atNs.size(); last++) {
            while (atNs.get(last) - atNs.get(first) >= SECOND_NS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** A call that a killed sidecar made is over too: its system closes the connection. */
    private static int mostOpen(History history, long fromNs, long endNs) {
        Set<Long> open = new HashSet<>();
        int most = 0;
        for (Event event : history.events()) {
            if (event.what() == What.CALLED) {
                open.add(event.number());
                most = event.atNs() >= fromNs && event.atNs() <= endNs ? Math.max(most, open.size()) : most;
            } else if (event.what() == What.CALL_ENDED) {
                open.remove(event.number());
            }
        }
        return most;
    }

    private static double toldS(History history, long fromNs, Set<String> sidecars) {
        return partS(fromNs, sidecars.size(), history.of(What.TOLD));
    }

    /** When something had happened to 99% of so many. */
    private static double partS(long fromNs, int all, Stream<Event> events) {
        Map<String, Long> first = new HashMap<>();
        events.filter(event -> event.atNs() >= fromNs).forEach(event -> first.putIfAbsent(event.who(), event.atNs()));
        int wanted = (int) Math.ceil(PART * all);
        return wanted == 0 || first.size() < wanted
                ? Double.POSITIVE_INFINITY
                : (first.values().stream().sorted().toList().get(wanted - 1) - fromNs) / 1e9;
    }

    private static List<Double> ready(History history, long fromNs, Set<String> sidecars, Map<String, Double> firstS) {
        Map<String, Long> started = new HashMap<>();
        return history.events().stream()
                .filter(event -> event.atNs() >= fromNs && sidecars.contains(event.who()))
                .mapToDouble(event -> {
                    if (event.what() == What.STARTED) {
                        started.put(event.who(), event.atNs());
                    } else if (event.what() == What.UP && started.containsKey(event.who())) {
                        firstS.putIfAbsent(event.who(), (event.atNs() - fromNs) / 1e9);
                        return (event.atNs() - started.remove(event.who())) / 1e9;
                    }
                    return Double.NaN;
                })
                .filter(took -> !Double.isNaN(took))
                .sorted()
                .boxed()
                .toList();
    }

    private static Map<String, Long> sessions(History history, long fromNs) {
        Map<String, Long> counts = new TreeMap<>();
        Set<String> asked = history.of(What.ASKED)
                .filter(event -> event.atNs() >= fromNs)
                .map(Event::id)
                .collect(Collectors.toSet());
        counts.put("asked", (long) asked.size());
        history.of(What.ENDED)
                .filter(end -> asked.contains(end.id()))
                .forEach(end -> counts.merge(
                        switch (end.text()) {
                            case "200" -> "served";
                            case "503", "429" -> "denied";
                            case "refused", "unsent" -> "refused";
                            default -> "failed";
                        },
                        1L,
                        Long::sum));
        return counts;
    }

    private static double usualS(History history, long faultNs, long fromNs, long endNs) {
        List<Recovery.Session> sessions = Recovery.sessions(history, fromNs);
        // In the first half the lab's own machines are still slow, and sidecars know little of servers yet.
        double beginMs = (history.first(What.BEGIN).orElse(0L) - fromNs) / 1e6;
        double faultMs = (faultNs - fromNs) / 1e6;
        double usual =
                faultNs == Long.MIN_VALUE ? Double.NaN : Recovery.share(sessions, (beginMs + faultMs) / 2, faultMs);
        double usualS = 0;
        for (int second = 0; second < (endNs - fromNs) / SECOND_NS; second++) {
            double share = Recovery.share(sessions, 1e3 * second, 1e3 * second + 1e3);
            if (share < PART * usual) {
                usualS = second + 1;
            }
        }
        return Double.isNaN(usual) || usualS >= Math.floor((endNs - fromNs) / 1e9) ? Double.POSITIVE_INFINITY : usualS;
    }

    // ---- The fleet service ----

    /**
     * What the fleet service's part of it was.
     *
     * @param heard what all daemons heard together by the end, each since it was started
     * @param knownS when all instances knew all daemons and handed out one instance's tables
     * @param heldS when 99% of the daemons held a table that is newer than all before
     */
    public record Fleet(Map<String, Long> heard, double knownS, double heldS) {}

    /** Of a whole history; its times count as above. */
    public static Fleet fleet(History history) {
        long faultNs = history.first(What.FAULT).orElse(Long.MIN_VALUE);
        long fromNs = history.of(What.STARTED)
                .map(Event::atNs)
                .filter(at -> at >= faultNs)
                .findFirst()
                .orElse(0L);
        int daemons = (int) history.of(What.ASKED).map(Event::whom).distinct().count();
        Map<String, Long> heard = new TreeMap<>();
        history.of(What.HEARD).forEach(event -> heard.merge(event.text(), event.number(), Long::sum));
        long before = history.of(What.TABLE)
                .filter(event -> event.atNs() < fromNs)
                .mapToLong(Event::number)
                .max()
                .orElse(0);
        return new Fleet(
                heard,
                knownS(history, fromNs, daemons),
                partS(fromNs, daemons, history.of(What.TABLE).filter(event -> event.number() > before)));
    }

    private static double knownS(History history, long fromNs, int daemons) {
        long instances = history.of(What.VIEW).map(Event::who).distinct().count();
        Map<String, Event> views = new HashMap<>();
        for (Event event :
                history.of(What.VIEW).filter(view -> view.atNs() >= fromNs).toList()) {
            views.put(event.who(), event);
            if (views.size() == instances
                    && views.values().stream().allMatch(view -> view.number() == daemons)
                    && views.values().stream().map(Event::text).distinct().count() == 1) {
                return (event.atNs() - fromNs) / 1e9;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
