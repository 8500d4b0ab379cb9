package peppergauge.promises.outcome;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;

/**
 * Turns cumulative counters into sliding windows for each objective, and computes error budget burn rates. Growth that
 * was not observed period by period is dropped: it cannot be attributed to a slot. Not thread-safe.
 */
public final class OutcomeWindows {

    /** Share of a window's error budget that has to be spent before it counts as burning. */
    private static final double MIN_BUDGET_SPENT = 0.1;

    private final Map<TrafficKey, CumulativeOutcomes> lastCounters = new HashMap<>();
    private final Map<TrafficKey, List<SlidingWindow>> windows = new HashMap<>();
    private final Map<TrafficKey, OutcomeCounts> latest = new HashMap<>();
    private Map<String, ServiceLevelObjective> objectives = Map.of();

    /**
     * Windows of one key, as persisted.
     *
     * @param key what is counted; {@code cell} in JSON
     * @param windowsMs lengths of the windows, ms
     * @param windows for each of {@code windowsMs} the outcomes by slot number, a sixtieth of the window each
     */
    public record PersistedWindows(
            @JsonProperty("cell") TrafficKey key, List<Long> windowsMs, List<Map<Long, OutcomeCounts>> windows) {}

    /** Replaces the objectives. Windows of objectives with the same latency and window lengths are retained. */
    public void setObjectives(List<ServiceLevelObjective> updated) {
        Map<String, ServiceLevelObjective> before = objectives;
        objectives = new HashMap<>();
        updated.forEach(each -> objectives.put(objectiveKey(each.tenant(), each.requestClass()), each));
        windows.keySet().removeIf(key -> {
            ServiceLevelObjective previous = before.get(objectiveKey(key.tenant(), key.requestClass()));
            ServiceLevelObjective current = objectives.get(objectiveKey(key.tenant(), key.requestClass()));
            return current == null
                    || previous == null
                    || current.latencyMs() != previous.latencyMs()
                    || !current.windowsMs().equals(previous.windowsMs());
        });
    }

    private static String objectiveKey(String tenant, String requestClass) {
        return tenant + '\n' + requestClass;
    }

    private ServiceLevelObjective objectiveOf(TrafficKey key) {
        return objectives.get(objectiveKey(key.tenant(), key.requestClass()));
    }

    /**
     * Records the growth of the counters since the last call.
     *
     * @param gap whether too much time passed since the last call to attribute the growth to a slot
     */
    public void record(long nowMs, List<CumulativeOutcomes> counters, boolean gap) {
        latest.clear();
        for (CumulativeOutcomes now : counters) {
            CumulativeOutcomes before = lastCounters.put(now.key(), now);
            // A counter that fell was reset, so its growth is unknown.
            boolean usable = before != null && !gap && now.met() >= before.met() && now.missed() >= before.missed();
            if (usable) {
                long met = now.met() - before.met();
                long missed = now.missed() - before.missed();
                latest.put(now.key(), new OutcomeCounts(met, missed));
                windowsOf(now.key()).forEach(window -> window.add(nowMs, met, missed));
            }
        }
    }

    private List<SlidingWindow> windowsOf(TrafficKey key) {
        ServiceLevelObjective objective = objectiveOf(key);
        return objective == null
                ? List.of()
                : windows.computeIfAbsent(
                        key,
                        each -> objective.windowsMs().stream()
                                .map(SlidingWindow::new)
                                .toList());
    }

    /** Returns the outcomes of the last period, summed over the keys that match. */
    public OutcomeCounts sumLatest(Predicate<TrafficKey> matching) {
        OutcomeCounts sum = OutcomeCounts.ZERO;
        for (Map.Entry<TrafficKey, OutcomeCounts> each : latest.entrySet()) {
            sum = matching.test(each.getKey()) ? sum.plus(each.getValue()) : sum;
        }
        return sum;
    }

    /** Returns the outcomes of the last period in one zone, for each key that has an objective. */
    public Map<TrafficKey, OutcomeCounts> latestOfObjectives(String zone) {
        Map<TrafficKey, OutcomeCounts> all = new HashMap<>(latest);
        all.keySet().removeIf(key -> !key.zone().equals(zone) || !windows.containsKey(key));
        return all;
    }

    /** Returns the names of all zones that were counted, in order. */
    public TreeSet<String> zones() {
        TreeSet<String> zones = new TreeSet<>();
        lastCounters.keySet().stream()
                .map(TrafficKey::zone)
                .filter(zone -> !zone.equals(TrafficKey.NO_ZONE))
                .forEach(zones::add);
        return zones;
    }

    /** Returns the names of all tenants that were counted, in order. */
    public TreeSet<String> tenants() {
        TreeSet<String> tenants = new TreeSet<>();
        lastCounters.keySet().forEach(key -> tenants.add(key.tenant()));
        return tenants;
    }

    /** Returns the outcomes of one objective in one zone over the newest tenth of its shortest window. */
    public OutcomeCounts recent(ServiceLevelObjective objective, String zone, long nowMs) {
        return shortestWindow(objective, zone)
                .map(window -> window.sumRecent(nowMs))
                .orElse(OutcomeCounts.ZERO);
    }

    /** Returns the outcomes of one objective in one zone over its shortest window. */
    public OutcomeCounts full(ServiceLevelObjective objective, String zone, long nowMs) {
        return shortestWindow(objective, zone).map(window -> window.sum(nowMs)).orElse(OutcomeCounts.ZERO);
    }

    private Optional<SlidingWindow> shortestWindow(ServiceLevelObjective objective, String zone) {
        return Optional.ofNullable(windows.get(new TrafficKey(objective.tenant(), objective.requestClass(), zone)))
                .map(known -> known.get(0));
    }

    /**
     * Returns whether the objective's error budget burns, by the multi-window rule of The Site Reliability Workbook
     * (Google 2018, chapter 5): the newest tenth of a window misses more than the budget with confidence, and a tenth
     * of the whole window's budget is spent.
     */
    public boolean isBudgetBurning(ServiceLevelObjective objective, long nowMs) {
        for (int i = 0; i < objective.windowsMs().size(); i++) {
            OutcomeCounts window = sumOverZones(objective, i, nowMs, false);
            if (window.missRatio() >= MIN_BUDGET_SPENT * objective.errorBudget()
                    && sumOverZones(objective, i, nowMs, true).isMissRatioAbove(objective.errorBudget())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the burn rate of each window: misses over the error budget; from 1 on the window is missed. */
    public List<Double> burnRates(ServiceLevelObjective objective, long nowMs) {
        List<Double> rates = new ArrayList<>();
        for (int i = 0; i < objective.windowsMs().size(); i++) {
            rates.add(sumOverZones(objective, i, nowMs, false).missRatio() / objective.errorBudget());
            assert rates.get(i) >= 0 && rates.get(i) < Double.POSITIVE_INFINITY
                    : "expected finite burn rates of 0 or more but was " + rates + " for " + objective;
        }
        return rates;
    }

    private OutcomeCounts sumOverZones(ServiceLevelObjective objective, int index, long nowMs, boolean recent) {
        OutcomeCounts sum = OutcomeCounts.ZERO;
        for (Map.Entry<TrafficKey, List<SlidingWindow>> each : windows.entrySet()) {
            if (each.getKey().tenant().equals(objective.tenant())
                    && each.getKey().requestClass().equals(objective.requestClass())) {
                SlidingWindow window = each.getValue().get(index);
                sum = sum.plus(recent ? window.sumRecent(nowMs) : window.sum(nowMs));
            }
        }
        return sum;
    }

    /** Returns all windows for storage, sorted by key. */
    public List<PersistedWindows> exportState() {
        Map<String, PersistedWindows> all = new TreeMap<>();
        windows.forEach((key, known) -> all.put(
                objectiveKey(key.tenant(), key.requestClass()) + '\n' + key.zone(),
                new PersistedWindows(
                        key,
                        objectiveOf(key).windowsMs(),
                        known.stream().map(SlidingWindow::slots).toList())));
        return List.copyOf(all.values());
    }

    /** Merges stored windows. Windows whose lengths differ from the present objective's are ignored. */
    public void mergeState(List<PersistedWindows> stored) {
        for (PersistedWindows each : stored) {
            List<SlidingWindow> known = windowsOf(each.key());
            ServiceLevelObjective objective = objectiveOf(each.key());
            if (objective != null && objective.windowsMs().equals(each.windowsMs())) {
                for (int i = 0; i < known.size(); i++) {
                    known.get(i).merge(each.windows().get(i));
                }
            }
        }
    }
}
