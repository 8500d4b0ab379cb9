package peppergauge.lab.history;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What a start of many processes at once cost, measured from a history. It is printed, and no rule checks it. All
 * measurements begin at the first start of a process after the first fault, or at the very first start if there was no
 * fault. Times are seconds from that begin, infinite for what did not happen.
 *
 * @param calls number of calls to discovery
 * @param peakCalls most calls in any one second
 * @param meanCalls mean calls per second until 99% of the sidecars had an endpoint update
 * @param openCalls most calls that waited for a response at once
 * @param toldS when 99% of the sidecars had received an endpoint update after their start
 * @param handshakes most connections to backend servers in any one second
 * @param sessions number of requests by outcome: asked, served, denied (503 and 429), refused (no sidecar there) and
 *     failed
 * @param usualS when the second began from which on each second served 99% of the usual share, which is that of the
 *     second half of the time before the first fault
 * @param readyS time from the start of each sidecar until it was ready, ascending
 * @param allReadyS when the last sidecar was ready for the first time
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

    /** The share of sidecars, and of the usual service, that counts as complete. */
    private static final double COMPLETE_SHARE = 0.99;

    private static final long SECOND_NS = 1_000_000_000;

    /** Returns the measurements of a whole history. */
    public static ColdStart of(History history) {
        long faultNs = history.first(EventKind.FAULT).orElse(Long.MIN_VALUE);
        long fromNs = firstStart(history, faultNs).orElse(Math.max(faultNs, 0));
        long endNs = history.first(EventKind.END)
                .orElseGet(() -> history.events().isEmpty()
                        ? fromNs
                        : history.events().get(history.events().size() - 1).atNs());
        Set<String> sidecars = history.of(EventKind.ASKED).map(Event::whom).collect(Collectors.toSet());
        double toldS = toldS(history, fromNs, sidecars);
        List<Long> calls = timesBetween(history, EventKind.CALLED, fromNs, endNs);
        double spanS = Math.min(toldS, (endNs - fromNs) / 1e9);
        Map<String, Double> firstReadyS = new TreeMap<>();
        List<Double> readyS = readyS(history, fromNs, sidecars, firstReadyS);
        return new ColdStart(
                calls.size(),
                peakPerSecond(calls),
                calls.stream().filter(at -> at - fromNs <= spanS * 1e9).count() / Math.max(1e-3, spanS),
                maxOpenCalls(history, fromNs, endNs),
                toldS,
                peakPerSecond(timesBetween(history, EventKind.CONNECTED, fromNs, endNs)),
                outcomes(history, fromNs),
                usualS(history, faultNs, fromNs, endNs),
                readyS,
                firstReadyS.values().stream().mapToDouble(at -> at).max().orElse(Double.POSITIVE_INFINITY));
    }

    /** Returns the time of the first start of a process from the given time on. */
    private static Optional<Long> firstStart(History history, long notBeforeNs) {
        return history.of(EventKind.STARTED)
                .map(Event::atNs)
                .filter(at -> at >= notBeforeNs)
                .findFirst();
    }

    private static List<Long> timesBetween(History history, EventKind what, long fromNs, long endNs) {
        return history.of(what)
                .map(Event::atNs)
                .filter(at -> at >= fromNs && at <= endNs)
                .toList();
    }

    /** Returns the most events in any one second of ascending times. */
    private static int peakPerSecond(List<Long> atNs) {
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

    /** Calls of a killed sidecar end too, since the operating system closes the connection. */
    private static int maxOpenCalls(History history, long fromNs, long endNs) {
        Set<Long> open = new HashSet<>();
        int most = 0;
        for (Event event : history.events()) {
            if (event.what() == EventKind.CALLED) {
                open.add(event.number());
                most = event.atNs() >= fromNs && event.atNs() <= endNs ? Math.max(most, open.size()) : most;
            } else if (event.what() == EventKind.CALL_ENDED) {
                open.remove(event.number());
            }
        }
        return most;
    }

    private static double toldS(History history, long fromNs, Set<String> sidecars) {
        return completeS(fromNs, sidecars.size(), history.of(EventKind.TOLD));
    }

    /** Returns when 99% of a number of processes had an event, in seconds. */
    private static double completeS(long fromNs, int processes, Stream<Event> events) {
        Map<String, Long> first = new HashMap<>();
        events.filter(event -> event.atNs() >= fromNs).forEach(event -> first.putIfAbsent(event.who(), event.atNs()));
        int wanted = (int) Math.ceil(COMPLETE_SHARE * processes);
        return wanted == 0 || first.size() < wanted
                ? Double.POSITIVE_INFINITY
                : (first.values().stream().sorted().toList().get(wanted - 1) - fromNs) / 1e9;
    }

    private static List<Double> readyS(
            History history, long fromNs, Set<String> sidecars, Map<String, Double> firstReadyS) {
        Map<String, Long> started = new HashMap<>();
        return history.events().stream()
                .filter(event -> event.atNs() >= fromNs && sidecars.contains(event.who()))
                .mapToDouble(event -> {
                    if (event.what() == EventKind.STARTED) {
                        started.put(event.who(), event.atNs());
                    } else if (event.what() == EventKind.UP && started.containsKey(event.who())) {
                        firstReadyS.putIfAbsent(event.who(), (event.atNs() - fromNs) / 1e9);
                        return (event.atNs() - started.remove(event.who())) / 1e9;
                    }
                    return Double.NaN;
                })
                .filter(took -> !Double.isNaN(took))
                .sorted()
                .boxed()
                .toList();
    }

    private static Map<String, Long> outcomes(History history, long fromNs) {
        Map<String, Long> counts = new TreeMap<>();
        Set<String> asked = history.of(EventKind.ASKED)
                .filter(event -> event.atNs() >= fromNs)
                .map(Event::id)
                .collect(Collectors.toSet());
        counts.put("asked", (long) asked.size());
        history.of(EventKind.ENDED)
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
        List<RecoveryRule.Request> requests = RecoveryRule.requests(history, fromNs);
        // In the first half of the time before the fault the lab's own processes are still slow, and sidecars have
        // little knowledge of the servers.
        double beginMs = (history.first(EventKind.BEGIN).orElse(0L) - fromNs) / 1e6;
        double faultMs = (faultNs - fromNs) / 1e6;
        double usual = faultNs == Long.MIN_VALUE
                ? Double.NaN
                : RecoveryRule.servedShare(requests, (beginMs + faultMs) / 2, faultMs);
        double usualS = 0;
        for (int second = 0; second < (endNs - fromNs) / SECOND_NS; second++) {
            double share = RecoveryRule.servedShare(requests, 1e3 * second, 1e3 * second + 1e3);
            if (share < COMPLETE_SHARE * usual) {
                usualS = second + 1;
            }
        }
        return Double.isNaN(usual) || usualS >= Math.floor((endNs - fromNs) / 1e9) ? Double.POSITIVE_INFINITY : usualS;
    }

    /**
     * Measurements of the fleet service.
     *
     * @param heard number of responses by kind that all daemons received by the end, each since its last start
     * @param knownS when all instances knew all daemons and served the tables of one instance
     * @param heldS when 99% of the daemons held a table that is newer than all tables before the begin
     */
    public record Fleet(Map<String, Long> heard, double knownS, double heldS) {}

    /** Returns the measurements of the fleet service of a whole history; times are as in {@link ColdStart}. */
    public static Fleet fleet(History history) {
        long faultNs = history.first(EventKind.FAULT).orElse(Long.MIN_VALUE);
        long fromNs = firstStart(history, faultNs).orElse(0L);
        int daemons =
                (int) history.of(EventKind.ASKED).map(Event::whom).distinct().count();
        Map<String, Long> heard = new TreeMap<>();
        history.of(EventKind.HEARD).forEach(event -> heard.merge(event.text(), event.number(), Long::sum));
        long latestVersionBefore = history.of(EventKind.TABLE)
                .filter(event -> event.atNs() < fromNs)
                .mapToLong(Event::number)
                .max()
                .orElse(0);
        return new Fleet(
                heard,
                knownS(history, fromNs, daemons),
                completeS(
                        fromNs,
                        daemons,
                        history.of(EventKind.TABLE).filter(event -> event.number() > latestVersionBefore)));
    }

    private static double knownS(History history, long fromNs, int daemons) {
        long instances = history.of(EventKind.VIEW).map(Event::who).distinct().count();
        Map<String, Event> views = new HashMap<>();
        for (Event event :
                history.of(EventKind.VIEW).filter(view -> view.atNs() >= fromNs).toList()) {
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
