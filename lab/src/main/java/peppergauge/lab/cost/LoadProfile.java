package peppergauge.lab.cost;

import java.util.List;
import java.util.stream.Stream;
import peppergauge.lab.load.Generator;
import peppergauge.lab.standin.Delay;

/**
 * A load to measure.
 *
 * @param name name on the command line
 * @param ratePerS requests per second of an open loop; 0 for a closed loop
 * @param connections connections to the sidecar
 * @param delay service time of the backend servers
 */
record LoadProfile(String name, double ratePerS, int connections, Delay delay) {

    static final String START = "start";

    /** The usual load of one sidecar, a load several times as high below saturation, and saturation of the core. */
    private static final List<LoadProfile> LOADS = List.of(
            new LoadProfile("220", 220, 40, new Delay(35, false)),
            new LoadProfile("1200", 1200, 150, new Delay(35, false)),
            new LoadProfile("saturate", 0, 16, new Delay(0, false)));

    static LoadProfile named(String name) {
        return LOADS.stream()
                .filter(load -> load.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "unknown load " + name + "; expected one of " + String.join(", ", all())));
    }

    static List<String> all() {
        return Stream.concat(LOADS.stream().map(LoadProfile::name), Stream.of(START))
                .toList();
    }

    Generator.Shape shape() {
        return new Generator.Shape(connections, connections, ratePerS == 0);
    }

    /** This load with another service time, or unchanged if it is null. */
    LoadProfile withDelay(Delay override) {
        return override == null ? this : new LoadProfile(name, ratePerS, connections, override);
    }

    @Override
    public String toString() {
        return name + ": "
                + (ratePerS > 0 ? "open loop, " + Math.round(ratePerS) + " requests a second, " : "closed loop, ")
                + connections + " connections, service time " + delay;
    }
}
