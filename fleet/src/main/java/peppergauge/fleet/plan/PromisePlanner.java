package peppergauge.fleet.plan;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.decide.Planner;
import peppergauge.fleet.state.Latencies;
import peppergauge.fleet.wire.Json;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.control.ControllerState;
import peppergauge.promises.control.ZoneWeightController;

/**
 * Steers stations by what they are promised. Without contracts it steers nothing, and forecasts all the same. For one
 * thread, and {@link #forecasts} for one more.
 *
 * <p>What is kept is as old as its last decision: the time that passed since then, by Unix time, decides how much of it
 * still counts, so that an old disk brings no old steering back.
 */
public final class PromisePlanner implements Planner {

    private final List<ServiceLevelObjective> contracts;
    private final ZoneWeightController steerer;
    private final KeyForecasts forecasts;
    private final Map<TrafficKey, Long> promisedMs = new HashMap<>();
    private ControllerState kept;
    private volatile ZoneWeights told = ZoneWeights.NEUTRAL;
    private long decidedMs;

    public PromisePlanner(List<ServiceLevelObjective> contracts, ControllerConfig tuning, KeyForecasts forecasts) {
        this.contracts = List.copyOf(contracts);
        this.forecasts = forecasts;
        steerer = new ZoneWeightController(tuning);
        steerer.setObjectives(this.contracts);
        contracts.forEach(each -> promisedMs.put(
                new TrafficKey(each.tenant(), each.requestClass(), TrafficKey.NO_ZONE), (long) each.latencyMs()));
    }

    @Override
    public ZoneWeights plan(long nowMs, MergedView merged) {
        if (contracts.isEmpty()) {
            return ZoneWeights.NEUTRAL;
        }
        if (kept != null) {
            steerer.importState(kept, nowMs);
            kept = null;
        }
        told = steerer.decide(nowMs, merged.evidence(this::promisedMs), forecasts);
        decidedMs = nowMs;
        return told;
    }

    /** Classes without a promise count as answered however long they took: they say what data centres hold. */
    private long promisedMs(TrafficKey cell) {
        return promisedMs.getOrDefault(
                new TrafficKey(cell.tenant(), cell.requestClass(), TrafficKey.NO_ZONE), Latencies.MOST_MS);
    }

    @Override
    public Object report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("contracts", contracts.size());
        report.put("decided_ms", decidedMs);
        report.put("shares", steerer.plannedShares());
        report.put("factors", told.weights());
        report.put("burn_rates", burnRates());
        report.put("forecast", forecasts.report());
        return report;
    }

    @Override
    public Map<String, ForecastAnswer> forecasts(long nowMs, MergedView merged) {
        forecasts.step(nowMs, merged, told);
        return forecasts.answers();
    }

    @Override
    public byte[] forecastState() {
        return forecasts.kept();
    }

    @Override
    public void restoreForecasts(byte[] state) {
        forecasts.restore(state);
    }

    /** By "station / class": for each window, how many times its error budget is being spent. */
    private Map<String, List<Double>> burnRates() {
        Map<String, List<Double>> rates = new LinkedHashMap<>();
        List<List<Double>> burning = steerer.burnRates(contracts, decidedMs);
        for (int i = 0; i < contracts.size(); i++) {
            rates.put(contracts.get(i).tenant() + " / " + contracts.get(i).requestClass(), burning.get(i));
        }
        return rates;
    }

    @Override
    public byte[] state() {
        return contracts.isEmpty() ? new byte[0] : Json.write(steerer.exportState());
    }

    /** Taken with the first plan, for only then it is known how old it is. */
    @Override
    public void restore(byte[] state) {
        ControllerState read = Json.read(state, ControllerState.class);
        if (read.windows() == null
                || read.shares() == null
                || read.weights() == null
                || read.zoneHealth() == null
                || read.capacity() == null) {
            throw new IllegalArgumentException("no state of promises");
        }
        kept = read;
    }
}
