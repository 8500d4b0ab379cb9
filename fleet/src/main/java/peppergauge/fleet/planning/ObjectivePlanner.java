package peppergauge.fleet.planning;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.planner.Planner;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.control.ControllerState;
import peppergauge.promises.control.ZoneWeightController;

/**
 * Plans zone weights by service level objectives, and makes forecasts. Without objectives the weights are neutral.
 *
 * <p>Restored state has the age of its last decision; the first plan decides how much of it is still valid.
 */
public final class ObjectivePlanner implements Planner {

    private final List<ServiceLevelObjective> objectives;
    private final ZoneWeightController controller;
    private final HitRateForecasts forecasts;
    private final Map<TrafficKey, Long> latencyMs = new HashMap<>();
    private ControllerState restoredState;
    private volatile ZoneWeights published = ZoneWeights.NEUTRAL;
    private long decidedMs;

    public ObjectivePlanner(
            List<ServiceLevelObjective> objectives, ControllerConfig config, HitRateForecasts forecasts) {
        this.objectives = List.copyOf(objectives);
        this.forecasts = forecasts;
        controller = new ZoneWeightController(config);
        controller.setObjectives(this.objectives);
        objectives.forEach(each -> latencyMs.put(
                new TrafficKey(each.tenant(), each.requestClass(), TrafficKey.NO_ZONE), (long) each.latencyMs()));
    }

    @Override
    public ZoneWeights plan(long nowMs, FleetView view) {
        if (objectives.isEmpty()) {
            return ZoneWeights.NEUTRAL;
        }
        if (restoredState != null) {
            controller.importState(restoredState, nowMs);
            restoredState = null;
        }
        published = controller.decide(nowMs, view.outcomes(this::latencyObjectiveMs), forecasts);
        decidedMs = nowMs;
        return published;
    }

    /** Returns the latency objective; without one all responses count as met, and still show the capacity of zones. */
    private long latencyObjectiveMs(TrafficKey key) {
        return latencyMs.getOrDefault(
                new TrafficKey(key.tenant(), key.requestClass(), TrafficKey.NO_ZONE), LatencyHistograms.MAX_LATENCY_MS);
    }

    @Override
    public Object report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("contracts", objectives.size());
        report.put("decided_ms", decidedMs);
        report.put("shares", controller.plannedShares());
        report.put("factors", published.weights());
        report.put("burn_rates", burnRates());
        report.put("forecast", forecasts.report());
        return report;
    }

    @Override
    public Map<String, ForecastAnswer> forecasts(long nowMs, FleetView view) {
        forecasts.step(nowMs, view, published);
        return forecasts.answers();
    }

    @Override
    public byte[] exportForecastState() {
        return forecasts.exportState();
    }

    @Override
    public void importForecastState(byte[] state) {
        forecasts.importState(state);
    }

    /** Returns the burn rate of each window by "tenant / class". */
    private Map<String, List<Double>> burnRates() {
        Map<String, List<Double>> rates = new LinkedHashMap<>();
        List<List<Double>> byObjective = controller.burnRates(objectives, decidedMs);
        for (int i = 0; i < objectives.size(); i++) {
            rates.put(objectives.get(i).tenant() + " / " + objectives.get(i).requestClass(), byObjective.get(i));
        }
        return rates;
    }

    @Override
    public byte[] exportState() {
        return objectives.isEmpty() ? new byte[0] : JsonCodec.write(controller.exportState());
    }

    /** Reads the state, which the first plan applies, when its age is known. */
    @Override
    public void importState(byte[] state) {
        ControllerState read = JsonCodec.read(state, ControllerState.class);
        if (read.windows() == null
                || read.shares() == null
                || read.weights() == null
                || read.zoneHealth() == null
                || read.capacity() == null) {
            throw new IllegalArgumentException("planner state lacks windows, shares, weights, zone health or capacity");
        }
        restoredState = read;
    }
}
