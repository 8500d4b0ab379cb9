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
 * {@code [promises]}: what steers stations to zones; the contracts themselves are {@code [[promise]]}.
 *
 * @param period how often it decides
 * @param step most that a station's share of a zone changes in a period
 * @param told until evidence has been gathered and a table is made of it
 * @param spread until a sidecar has the table, added for each, at most
 */
public record Promises(Policy policy, Duration period, double step, Duration told, Duration spread) {

    /** What steers. */
    public enum Policy {
        NONE,
        /** The fleet service's. */
        STEERING,
        /** Each sidecar's own zone first: what many would do. */
        NEAREST_FIRST,
        /** Each station to the zone that kept most of late: what a simple loop would do. */
        WINNER_TAKES_ALL
    }

    static final Promises NONE =
            new Promises(Policy.NONE, Duration.ofSeconds(1), 0.15, Duration.ofMillis(500), Duration.ofMillis(500));

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
            Key.preset("period", Scenario.time(100, 600_000), "\"1 s\"", "How often it decides."),
            Key.preset("step", Types.number(0.001, 1), "0.15", "Most that a share changes in a period."),
            Key.preset("told", Scenario.time(0, 60_000), "\"500 ms\"", "From evidence to a table made of it."),
            Key.preset("spread", Scenario.time(0, 60_000), "\"500 ms\"", "Until a sidecar has a table, at most."));

    /** The contracts' section, held to the names of this file. */
    record Contracts(Section promises) implements Section {

        @Override
        public Table table() {
            return promises.table();
        }

        @Override
        public void check(Values file, Problems problems) {
            promises.check(file, problems);
            Scenario scenario = Scenario.read(file);
            List<String> stations =
                    scenario.tenants().stream().map(Tenant::name).toList();
            List<String> classes =
                    scenario.classes().stream().map(RequestKind::name).toList();
            for (int i = 0; i < scenario.contracts().size(); i++) {
                ServiceLevelObjective contract = scenario.contracts().get(i);
                Values promise = file.all(table()).get(i);
                known(promise, "station", stations, List.of(contract.tenant()), problems);
                known(promise, "class", classes, List.of(contract.requestClass()), problems);
                known(promise, "zones", scenario.network().zones(), contract.zones(), problems);
            }
        }

        private void known(Values promise, String key, List<String> known, List<String> named, Problems problems) {
            if (!known.containsAll(named)) {
                Key<?> at = table().keys().stream()
                        .filter(each -> each.name().equals(key))
                        .findFirst()
                        .orElseThrow();
                problems.add(
                        promise.place(at),
                        "promise." + key,
                        "names what this scenario does not have; there is "
                                + known.stream().sorted().collect(Collectors.joining(", ")));
            }
        }
    }
}
