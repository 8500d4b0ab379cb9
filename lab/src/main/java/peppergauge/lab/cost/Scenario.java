package peppergauge.lab.cost;

import java.util.List;
import java.util.stream.Stream;
import peppergauge.lab.load.Generator;
import peppergauge.lab.standin.Delay;

/** A load: requests a second in the open loop, or 0 for the closed one. */
record Scenario(String name, double ratePerS, int connections, Delay delay) {

    static final String START = "start";

    /** About the load of one sidecar, four times as much with room, and all that the core can do. */
    private static final List<Scenario> LOADS = List.of(
            new Scenario("220", 220, 40, new Delay(35, false)),
            new Scenario("1200", 1200, 150, new Delay(35, false)),
            new Scenario("saturate", 0, 16, new Delay(0, false)));

    static Scenario named(String name) {
        return LOADS.stream()
                .filter(load -> load.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "no scenario is called " + name + "; there are " + String.join(", ", all())));
    }

    static List<String> all() {
        return Stream.concat(LOADS.stream().map(Scenario::name), Stream.of(START))
                .toList();
    }

    Generator.Shape shape() {
        return new Generator.Shape(connections, connections, ratePerS == 0);
    }

    Scenario with(Delay other) {
        return other == null ? this : new Scenario(name, ratePerS, connections, other);
    }

    @Override
    public String toString() {
        return name + ": "
                + (ratePerS > 0 ? "open loop, " + Math.round(ratePerS) + " requests a second, " : "closed loop, ")
                + connections + " connections, service time " + delay;
    }
}
