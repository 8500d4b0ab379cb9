package peppergauge.lab.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.History;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.promises.ServiceLevelObjective;

/**
 * Results of latency objectives in a recorded history, as clients measured them. Only requests within the scenario's
 * length and complete windows count, since a run continues until service has recovered.
 *
 * @param objectives results in the order of the scenario's objectives
 * @param worth earned value as a share of the value of all requests if all had been served in time
 * @param largestRise largest rise of the attempts per second at any server from one 3 s interval to the next
 */
record ObjectiveResults(List<ObjectiveResult> objectives, double worth, double largestRise) {

    /**
     * Result of one objective.
     *
     * @param penalty sum over the windows in which the objective was missed
     */
    record ObjectiveResult(ServiceLevelObjective objective, long windows, long kept, double penalty) {}

    private static final double RISE_INTERVAL_MS = 3_000;

    /** One attempt of a client. The duration is infinite without a successful response. */
    private record ClientAttempt(String requestId, RequestClassSpec kind, String tenant, double atMs, double tookMs) {}

    static ObjectiveResults of(History history, Scenario scenario) {
        return of(history, scenario, 0);
    }

    /**
     * Returns the results without a first part of the load.
     *
     * @param warmUpMs length of that part; dozens of JVMs that start at once are no steady state
     */
    static ObjectiveResults of(History history, Scenario scenario, double warmUpMs) {
        long beginNs = history.first(EventKind.BEGIN).orElseThrow() + (long) (1e6 * warmUpMs);
        double lengthMs = Scenario.toMillis(scenario.run().length());
        List<ClientAttempt> attempts = attempts(history, scenario, beginNs, lengthMs);
        return new ObjectiveResults(
                scenario.contracts().stream()
                        .map(objective -> resultOf(objective, attempts, lengthMs))
                        .toList(),
                worth(attempts),
                largestRise(history, beginNs, lengthMs));
    }

    long windows() {
        return objectives.stream().mapToLong(ObjectiveResult::windows).sum();
    }

    long kept() {
        return objectives.stream().mapToLong(ObjectiveResult::kept).sum();
    }

    /** Returns the penalty as a share of the largest possible penalty. */
    double penalty() {
        return objectives.stream().mapToDouble(ObjectiveResult::penalty).sum()
                / objectives.stream()
                        .mapToDouble(one -> one.windows() * one.objective().penalty())
                        .sum();
    }

    private static List<ClientAttempt> attempts(History history, Scenario scenario, long beginNs, double lengthMs) {
        Map<String, Event> ends = new HashMap<>();
        history.of(EventKind.ENDED).forEach(end -> ends.putIfAbsent(end.id(), end));
        List<ClientAttempt> attempts = new ArrayList<>();
        history.of(EventKind.ASKED)
                .filter(asked -> asked.atNs() >= beginNs && asked.atNs() - beginNs < lengthMs * 1e6)
                .forEach(asked -> {
                    String[] words = asked.text().split(" ");
                    Event end = ends.get(asked.id());
                    attempts.add(new ClientAttempt(
                            asked.wish(),
                            scenario.classes().stream()
                                    .filter(kind -> kind.name().equals(words[1]))
                                    .findFirst()
                                    .orElseThrow(),
                            words.length > 2 ? words[2] : "",
                            (asked.atNs() - beginNs) / 1e6,
                            end == null || !end.text().equals("200")
                                    ? Double.POSITIVE_INFINITY
                                    : (end.atNs() - asked.atNs()) / 1e6));
                });
        return attempts;
    }

    private static ObjectiveResult resultOf(
            ServiceLevelObjective objective, List<ClientAttempt> attempts, double lengthMs) {
        long windows = 0;
        long kept = 0;
        for (long windowMs : objective.windowsMs()) {
            Map<Long, long[]> counts = new TreeMap<>();
            attempts.stream()
                    .filter(one -> one.tenant().equals(objective.tenant())
                            && one.kind().name().equals(objective.requestClass()))
                    .forEach(one -> {
                        long[] count = counts.computeIfAbsent((long) (one.atMs() / windowMs), window -> new long[2]);
                        count[0]++;
                        count[1] += one.tookMs() <= objective.latencyMs() ? 1 : 0;
                    });
            for (Map.Entry<Long, long[]> count : counts.entrySet()) {
                if ((count.getKey() + 1) * windowMs <= lengthMs) {
                    windows++;
                    kept += count.getValue()[1] >= objective.targetShare() * count.getValue()[0] ? 1 : 0;
                }
            }
        }
        return new ObjectiveResult(objective, windows, kept, (windows - kept) * objective.penalty());
    }

    private static double worth(List<ClientAttempt> attempts) {
        Set<String> requestIds = new HashSet<>();
        double most = 0;
        double earned = 0;
        for (ClientAttempt one : attempts) {
            most += requestIds.add(one.requestId()) ? one.kind().worth() : 0;
            earned += one.tookMs() <= Scenario.toMillis(one.kind().aim())
                    ? one.kind().worth()
                    : one.tookMs() <= Scenario.toMillis(one.kind().deadline())
                            ? one.kind().worth() * one.kind().lateWorth()
                            : 0;
        }
        return earned / most;
    }

    private static double largestRise(History history, long beginNs, double lengthMs) {
        Map<String, long[]> sent = new HashMap<>();
        int intervals = (int) (lengthMs / RISE_INTERVAL_MS);
        history.of(EventKind.SENT).forEach(event -> {
            int interval = (int) ((event.atNs() - beginNs) / 1e6 / RISE_INTERVAL_MS);
            if (event.atNs() >= beginNs && interval < intervals) {
                sent.computeIfAbsent(event.whom(), server -> new long[intervals])[interval]++;
            }
        });
        long largest = 0;
        for (long[] each : sent.values()) {
            for (int i = 1; i < each.length; i++) {
                largest = Math.max(largest, each[i] - each[i - 1]);
            }
        }
        return 1e3 * largest / RISE_INTERVAL_MS;
    }
}
