package peppergauge.promises;

import static peppergauge.invariant.Loads.require;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.invariant.Loads;
import peppergauge.promises.control.ControllerConfig;
import peppergauge.promises.control.ControllerState;
import peppergauge.promises.control.ZoneWeightController;

/**
 * A steerer that is told anything: counters that grow, stand, leap and fall, zones that come up and go, contracts that
 * change, a clock that leaps either way, and states of other sides, with zones and contracts that it never heard of.
 */
public final class ControllerLoad {

    private static final int STEPS = Loads.steps(60);
    private static final List<String> STATIONS = List.of("a", "a b", "c", "d");
    private static final List<String> ZONES = List.of("x", "y", "z", "w", TrafficKey.NO_ZONE);
    private static final ControllerConfig TUNING = ControllerConfig.DEFAULT;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SplittableRandom random;
    private final Map<TrafficKey, CumulativeOutcomes> counters = new HashMap<>();
    /** Where each answers, and how badly. */
    private final Map<String, Double> misses = new HashMap<>();

    private final List<ControllerState> states = new ArrayList<>();
    private List<ServiceLevelObjective> contracts;
    private ZoneWeightController steerer = new ZoneWeightController(TUNING);
    private long nowMs = 1_700_000_000_000L;
    private int zones;

    private ControllerLoad(long seed) {
        random = new SplittableRandom(seed);
        zones = 1 + random.nextInt(3);
        promise();
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) throws IOException {
        new ZoneWeightControllerPropertiesTest().noPlanGoesBeyondContractsOrHoldsAndLossFollowsPenalties(seed);
        ControllerLoad load = new ControllerLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        load.states.add(load.steerer.exportState());
        load.merges();
    }

    private void promise() {
        contracts = new ArrayList<>();
        for (String station : STATIONS) {
            for (int i = random.nextInt(3); i > 0; i--) {
                contracts.add(new ServiceLevelObjective(
                        station,
                        "k" + i,
                        0.5 + 0.499 * random.nextDouble(),
                        500,
                        random.nextBoolean() ? List.of(600_000L, 3_600_000L) : List.of(300_000L),
                        1 + random.nextInt(9),
                        random.nextInt(4) > 0 ? List.of() : List.of("x", ZONES.get(random.nextInt(4)))));
            }
        }
        steerer.setObjectives(contracts);
    }

    private void step() throws IOException {
        nowMs += TUNING.periodMs();
        switch (random.nextInt(40)) {
            case 0 -> nowMs += random.nextInt(-100_000, 900_000);
            case 1 -> zones = 1 + random.nextInt(4);
            case 2 ->
                counters.replaceAll(
                        (cell, counted) -> new CumulativeOutcomes(cell, counted.met() / 2, counted.missed()));
            case 3, 4, 5 ->
                misses.put(STATIONS.get(random.nextInt(4)) + ZONES.get(random.nextInt(4)), random.nextDouble());
            case 6 -> misses.clear();
            case 7 -> promise();
            case 8 -> states.add(steerer.exportState());
            case 9 -> restart();
            default -> {}
        }
        count();
        Map<String, Map<String, Double>> before = steerer.plannedShares();
        double dear = random.nextInt(3) * 0.5;
        ZoneWeights told = steerer.decide(
                nowMs, List.copyOf(counters.values()), (station, zone, from, to) -> dear * Math.max(0, to - from));
        told.weights().forEach((station, factors) -> {
            require(contracts.stream().anyMatch(each -> each.tenant().equals(station)), station + " has no promise");
            require(
                    factors.values().stream().allMatch(f -> f >= ZoneWeights.MIN_WEIGHT && f <= 1),
                    "factors " + factors);
        });
        steerer.plannedShares().forEach((station, shares) -> steady(before.get(station), shares));
        steerer.burnRates(contracts, nowMs)
                .forEach(rates ->
                        rates.forEach(rate -> require(rate >= 0 && rate < Double.POSITIVE_INFINITY, "burns " + rates)));
    }

    private static void steady(Map<String, Double> before, Map<String, Double> shares) {
        require(Loads.near(1, shares.values().stream().mapToDouble(s -> s).sum()), "not whole: " + shares);
        shares.forEach((zone, share) -> require(
                before == null || Math.abs(share - before.getOrDefault(zone, 0.0)) <= TUNING.maxShareStep() + 1e-9,
                before + " to " + shares));
    }

    private void restart() throws IOException {
        ControllerState kept = JSON.readValue(JSON.writeValueAsBytes(steerer.exportState()), ControllerState.class);
        require(kept.equals(steerer.exportState()), "what is written reads to another state");
        if (random.nextInt(3) == 0) {
            // The totals' own disk was lost: zones that were known are met again later, or never.
            counters.clear();
        }
        steerer = new ZoneWeightController(TUNING);
        steerer.setObjectives(contracts);
        steerer.importState(
                states.isEmpty() || random.nextBoolean()
                        ? kept
                        : ControllerState.merge(kept, states.get(random.nextInt(states.size()))),
                nowMs);
    }

    private void count() {
        for (String station : STATIONS) {
            for (int kind = 1; kind < 3; kind++) {
                for (int zone = 0; zone < zones; zone++) {
                    TrafficKey cell =
                            new TrafficKey(station, "k" + kind, ZONES.get(random.nextInt(20) == 0 ? 4 : zone));
                    long came = random.nextInt(2_000) == 0 ? 1L << 40 : random.nextInt(60);
                    long missed = Math.round(came * misses.getOrDefault(station + cell.zone(), 0.01));
                    counters.merge(
                            cell,
                            new CumulativeOutcomes(cell, came - missed, missed),
                            (was, more) ->
                                    new CumulativeOutcomes(cell, was.met() + more.met(), was.missed() + more.missed()));
                }
            }
        }
    }

    /** Sides' states merge in any order, any number of times, to the same. */
    private void merges() {
        ControllerState one = states.get(random.nextInt(states.size()));
        ControllerState two = states.get(random.nextInt(states.size()));
        ControllerState three = states.get(random.nextInt(states.size()));
        require(ControllerState.merge(one, one).equals(one), "a state merged with itself is another");
        require(
                ControllerState.merge(one, two).equals(ControllerState.merge(two, one)),
                "another order, another state");
        require(
                ControllerState.merge(one, ControllerState.merge(two, three))
                        .equals(ControllerState.merge(ControllerState.merge(one, two), three)),
                "another grouping, another state");
    }
}
