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
 * Random load on a {@link ZoneWeightController}: counters grow, stand still, jump and fall; zones appear and disappear;
 * objectives change; the clock jumps in both directions; and states of other instances are merged, with zones and
 * objectives that are unknown here.
 */
public final class ControllerLoad {

    private static final int STEPS = Loads.steps(60);
    private static final List<String> TENANTS = List.of("a", "a b", "c", "d");
    private static final List<String> ZONES = List.of("x", "y", "z", "w", TrafficKey.NO_ZONE);
    private static final ControllerConfig CONFIG = ControllerConfig.DEFAULT;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SplittableRandom random;
    private final Map<TrafficKey, CumulativeOutcomes> counters = new HashMap<>();
    /** Share of missed requests by tenant and zone, concatenated. */
    private final Map<String, Double> misses = new HashMap<>();

    private final List<ControllerState> states = new ArrayList<>();
    private List<ServiceLevelObjective> objectives;
    private ZoneWeightController controller = new ZoneWeightController(CONFIG);
    private long nowMs = 1_700_000_000_000L;
    private int zones;

    private ControllerLoad(long seed) {
        random = new SplittableRandom(seed);
        zones = 1 + random.nextInt(3);
        changeObjectives();
    }

    /** @throws AssertionError if a check fails */
    public static void run(long seed) throws IOException {
        new ZoneWeightControllerPropertiesTest().planStaysWithinAllowedZonesAndCapacity(seed);
        ControllerLoad load = new ControllerLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        load.states.add(load.controller.exportState());
        load.checkMerges();
    }

    private void changeObjectives() {
        objectives = new ArrayList<>();
        for (String tenant : TENANTS) {
            for (int i = random.nextInt(3); i > 0; i--) {
                objectives.add(new ServiceLevelObjective(
                        tenant,
                        "k" + i,
                        0.5 + 0.499 * random.nextDouble(),
                        500,
                        random.nextBoolean() ? List.of(600_000L, 3_600_000L) : List.of(300_000L),
                        1 + random.nextInt(9),
                        random.nextInt(4) > 0 ? List.of() : List.of("x", ZONES.get(random.nextInt(4)))));
            }
        }
        controller.setObjectives(objectives);
    }

    private void step() throws IOException {
        nowMs += CONFIG.periodMs();
        switch (random.nextInt(40)) {
            case 0 -> nowMs += random.nextInt(-100_000, 900_000);
            case 1 -> zones = 1 + random.nextInt(4);
            case 2 ->
                counters.replaceAll(
                        (key, outcomes) -> new CumulativeOutcomes(key, outcomes.met() / 2, outcomes.missed()));
            case 3, 4, 5 ->
                misses.put(TENANTS.get(random.nextInt(4)) + ZONES.get(random.nextInt(4)), random.nextDouble());
            case 6 -> misses.clear();
            case 7 -> changeObjectives();
            case 8 -> states.add(controller.exportState());
            case 9 -> restart();
            default -> {}
        }
        addRequests();
        Map<String, Map<String, Double>> before = controller.plannedShares();
        double costFactor = random.nextInt(3) * 0.5;
        ZoneWeights decided = controller.decide(
                nowMs, List.copyOf(counters.values()), (tenant, zone, from, to) -> costFactor * Math.max(0, to - from));
        decided.weights().forEach((tenant, weights) -> {
            require(
                    objectives.stream().anyMatch(each -> each.tenant().equals(tenant)),
                    "the decision has weights of " + tenant + ", which has no objective");
            require(
                    weights.values().stream().allMatch(weight -> weight >= ZoneWeights.MIN_WEIGHT && weight <= 1),
                    "expected weights from " + ZoneWeights.MIN_WEIGHT + " to 1 but was " + weights);
        });
        controller.plannedShares().forEach((tenant, shares) -> checkShares(before.get(tenant), shares));
        controller
                .burnRates(objectives, nowMs)
                .forEach(rates -> rates.forEach(rate -> require(
                        rate >= 0 && rate < Double.POSITIVE_INFINITY,
                        "expected finite burn rates of 0 or more but was " + rates)));
    }

    private static void checkShares(Map<String, Double> before, Map<String, Double> shares) {
        require(
                Loads.near(
                        1, shares.values().stream().mapToDouble(share -> share).sum()),
                "expected shares that sum to 1 but was " + shares);
        shares.forEach((zone, share) -> require(
                before == null || Math.abs(share - before.getOrDefault(zone, 0.0)) <= CONFIG.maxShareStep() + 1e-9,
                "expected shares to change by at most " + CONFIG.maxShareStep() + " but changed from " + before + " to "
                        + shares));
    }

    private void restart() throws IOException {
        ControllerState exported =
                JSON.readValue(JSON.writeValueAsBytes(controller.exportState()), ControllerState.class);
        require(exported.equals(controller.exportState()), "expected the exported state to read back equal");
        if (random.nextInt(3) == 0) {
            // The stored counters were lost: zones that were known appear again later, or never.
            counters.clear();
        }
        controller = new ZoneWeightController(CONFIG);
        controller.setObjectives(objectives);
        controller.importState(
                states.isEmpty() || random.nextBoolean()
                        ? exported
                        : ControllerState.merge(exported, states.get(random.nextInt(states.size()))),
                nowMs);
    }

    private void addRequests() {
        for (String tenant : TENANTS) {
            for (int requestClass = 1; requestClass < 3; requestClass++) {
                for (int zone = 0; zone < zones; zone++) {
                    TrafficKey key =
                            new TrafficKey(tenant, "k" + requestClass, ZONES.get(random.nextInt(20) == 0 ? 4 : zone));
                    long requests = random.nextInt(2_000) == 0 ? 1L << 40 : random.nextInt(60);
                    long missed = Math.round(requests * misses.getOrDefault(tenant + key.zone(), 0.01));
                    counters.merge(
                            key,
                            new CumulativeOutcomes(key, requests - missed, missed),
                            (total, more) -> new CumulativeOutcomes(
                                    key, total.met() + more.met(), total.missed() + more.missed()));
                }
            }
        }
    }

    /** Checks that merging states is idempotent, commutative and associative. */
    private void checkMerges() {
        ControllerState one = states.get(random.nextInt(states.size()));
        ControllerState two = states.get(random.nextInt(states.size()));
        ControllerState three = states.get(random.nextInt(states.size()));
        require(
                ControllerState.merge(one, one).equals(one),
                "expected a merge of a state with itself to change nothing");
        require(
                ControllerState.merge(one, two).equals(ControllerState.merge(two, one)),
                "expected the same state in either order of merging");
        require(
                ControllerState.merge(one, ControllerState.merge(two, three))
                        .equals(ControllerState.merge(ControllerState.merge(one, two), three)),
                "expected the same state in either grouping of merges");
    }
}
