package peppergauge.lab.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.History;
import peppergauge.lab.history.What;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.promises.ServiceLevelObjective;

/**
 * What became of promises in a recorded history, as clients saw it. Only what was asked within the scenario's length
 * counts, and only whole windows: a run goes on for longer until service is back.
 *
 * @param stations in the order of the contracts
 * @param worth served, as a share of what all that was asked would have earned in time
 * @param largestRise of attempts at any one server from one 3 s to the next, a second
 */
record ObjectiveResults(List<Station> stations, double worth, double largestRise) {

    /**
     * One contract.
     *
     * @param penalty of the windows that were not kept
     */
    record Station(ServiceLevelObjective contract, long windows, long kept, double penalty) {}

    private static final double BLOCK_MS = 3_000;

    /** One try of a client's; what was never answered took for ever. */
    private record Try(String wish, RequestKind kind, String station, double atMs, double tookMs) {}

    static ObjectiveResults of(History history, Scenario scenario) {
        return of(history, scenario, 0);
    }

    /** @param warmMs of the load that do not count: dozens of Java machines that start at once are no steady state */
    static ObjectiveResults of(History history, Scenario scenario, double warmMs) {
        long beginNs = history.first(What.BEGIN).orElseThrow() + (long) (1e6 * warmMs);
        double lengthMs = Scenario.ms(scenario.run().length());
        List<Try> tries = tries(history, scenario, beginNs, lengthMs);
        return new ObjectiveResults(
                scenario.contracts().stream()
                        .map(contract -> station(contract, tries, lengthMs))
                        .toList(),
                worth(tries),
                largestRise(history, beginNs, lengthMs));
    }

    long windows() {
        return stations.stream().mapToLong(Station::windows).sum();
    }

    long kept() {
        return stations.stream().mapToLong(Station::kept).sum();
    }

    /** As a share of the most that could be. */
    double penalty() {
        return stations.stream().mapToDouble(Station::penalty).sum()
                / stations.stream()
                        .mapToDouble(one -> one.windows() * one.contract().penalty())
                        .sum();
    }

    private static List<Try> tries(History history, Scenario scenario, long beginNs, double lengthMs) {
        Map<String, Event> ends = new HashMap<>();
        history.of(What.ENDED).forEach(end -> ends.putIfAbsent(end.id(), end));
        List<Try> tries = new ArrayList<>();
        history.of(What.ASKED)
                .filter(asked -> asked.atNs() >= beginNs && asked.atNs() - beginNs < lengthMs * 1e6)
                .forEach(asked -> {
                    String[] words = asked.text().split(" ");
                    Event end = ends.get(asked.id());
                    tries.add(new Try(
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
        return tries;
    }

    private static Station station(ServiceLevelObjective contract, List<Try> tries, double lengthMs) {
        long windows = 0;
        long kept = 0;
        for (long windowMs : contract.windowsMs()) {
            Map<Long, long[]> counts = new TreeMap<>();
            tries.stream()
                    .filter(one -> one.station().equals(contract.tenant())
                            && one.kind().name().equals(contract.requestClass()))
                    .forEach(one -> {
                        long[] count = counts.computeIfAbsent((long) (one.atMs() / windowMs), window -> new long[2]);
                        count[0]++;
                        count[1] += one.tookMs() <= contract.latencyMs() ? 1 : 0;
                    });
            for (Map.Entry<Long, long[]> count : counts.entrySet()) {
                if ((count.getKey() + 1) * windowMs <= lengthMs) {
                    windows++;
                    kept += count.getValue()[1] >= contract.targetShare() * count.getValue()[0] ? 1 : 0;
                }
            }
        }
        return new Station(contract, windows, kept, (windows - kept) * contract.penalty());
    }

    private static double worth(List<Try> tries) {
        Set<String> wishes = new HashSet<>();
        double most = 0;
        double earned = 0;
        for (Try one : tries) {
            most += wishes.add(one.wish()) ? one.kind().worth() : 0;
            earned += one.tookMs() <= Scenario.ms(one.kind().aim())
                    ? one.kind().worth()
                    : one.tookMs() <= Scenario.ms(one.kind().deadline())
                            ? one.kind().worth() * one.kind().lateWorth()
                            : 0;
        }
        return earned / most;
    }

    private static double largestRise(History history, long beginNs, double lengthMs) {
        Map<String, long[]> sent = new HashMap<>();
        int blocks = (int) (lengthMs / BLOCK_MS);
        history.of(What.SENT).forEach(event -> {
            int block = (int) ((event.atNs() - beginNs) / 1e6 / BLOCK_MS);
            if (event.atNs() >= beginNs && block < blocks) {
                sent.computeIfAbsent(event.whom(), server -> new long[blocks])[block]++;
            }
        });
        long largest = 0;
        for (long[] each : sent.values()) {
            for (int i = 1; i < each.length; i++) {
                largest = Math.max(largest, each[i] - each[i - 1]);
            }
        }
        return 1e3 * largest / BLOCK_MS;
    }
}
