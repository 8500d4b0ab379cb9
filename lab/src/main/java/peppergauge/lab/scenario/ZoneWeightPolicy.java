package peppergauge.lab.scenario;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;
import peppergauge.promises.ServiceLevelObjective;

/**
 * Section {@code [promises]}: the policy that weights zones for stations. The service level objectives themselves are
 * in {@code [[promise]]}.
 *
 * @param policy what decides on zone weights
 * @param period time between two decisions
 * @param step maximum change of a station's share of a zone in one period
 * @param told time from collecting reports to a table made from them
 * @param spread maximum additional delay until one sidecar has the table
 */
public record ZoneWeightPolicy(Policy policy, Duration period, double step, Duration told, Duration spread) {

    /** What decides on zone weights. */
    public enum Policy {
        NONE,
        /** The planner of the fleet service. */
        STEERING,
        /** Each sidecar prefers its own zone, a common simple policy. */
        NEAREST_FIRST,
        /** Each station uses the zone that met most objectives recently, as a simple control loop would choose. */
        WINNER_TAKES_ALL
    }

    static final ZoneWeightPolicy NONE = new ZoneWeightPolicy(
            Policy.NONE, Duration.ofSeconds(1), 0.15, Duration.ofMillis(500), Duration.ofMillis(500));

    static final Table TABLE = Table.optional(
            "promises",
            "What steers stations to zones; for emulate.",
            Key.preset(
                    "policy",
                    Types.oneOf(Policy.class),
                    "\"none\"",
                    "Who decides: nobody; the fleet service's "
                            + "decision; or, to compare with, each sidecar's own zone first, or "
                            + "for each station the zone that kept "
                            + "most of late."),
            Key.preset("period", Scenario.duration(100, 600_000), "\"1 s\"", "How often it decides."),
            Key.preset("step", Types.number(0.001, 1), "0.15", "Most that a share changes in a period."),
            Key.preset("told", Scenario.duration(0, 60_000), "\"500 ms\"", "From evidence to a table made of it."),
            Key.preset("spread", Scenario.duration(0, 60_000), "\"500 ms\"", "Until a sidecar has a table, at most."));

    /** Section {@code [[promise]]}: checks that objectives name stations, classes and zones of the scenario. */
    record ObjectivesSection(Section objectives) implements Section {

        @Override
        public Table table() {
            return objectives.table();
        }

        @Override
        public void check(Values file, Problems problems) {
            objectives.check(file, problems);
            Scenario scenario = Scenario.read(file);
            List<String> stations =
                    scenario.tenants().stream().map(Tenant::name).toList();
            List<String> classes =
                    scenario.classes().stream().map(RequestClassSpec::name).toList();
            for (int i = 0; i < scenario.contracts().size(); i++) {
                ServiceLevelObjective objective = scenario.contracts().get(i);
                Values promise = file.all(table()).get(i);
                checkKnown(promise, "station", stations, List.of(objective.tenant()), problems);
                checkKnown(promise, "class", classes, List.of(objective.requestClass()), problems);
                checkKnown(promise, "zones", scenario.network().zones(), objective.zones(), problems);
            }
        }

        private void checkKnown(Values promise, String key, List<String> known, List<String> named, Problems problems) {
            if (!known.containsAll(named)) {
                Key<?> namedKey = table().keys().stream()
                        .filter(candidate -> candidate.name().equals(key))
                        .findFirst()
                        .orElseThrow();
                problems.add(
                        promise.place(namedKey),
                        "promise." + key,
                        "names what this scenario does not have; there is "
                                + known.stream().sorted().collect(Collectors.joining(", ")));
            }
        }
    }
}
