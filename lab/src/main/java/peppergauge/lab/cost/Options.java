package peppergauge.lab.cost;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.standin.Delay;

/**
 * What is to be measured.
 *
 * @param scenarios names of {@link Scenario}s
 * @param own the checkout whose example gives the settings
 * @param rounds 0 for what is usual
 * @param seconds of a round; {@code warmup}: before the first one
 * @param servers stand-in backend servers
 * @param delay null for the scenario's
 * @param json where all figures go; null for nowhere
 * @param out for the lines for people
 */
public record Options(
        List<String> scenarios,
        Path own,
        Launch launch,
        int rounds,
        int seconds,
        int warmup,
        int servers,
        Delay delay,
        long seed,
        Path json,
        PrintWriter out) {

    /** @throws IllegalArgumentException for what cannot be measured, in words */
    public Options {
        for (String name : scenarios) {
            if (!name.equals(Scenario.START)) {
                Scenario.named(name);
            }
        }
        if (!Machine.cpus().contains(launch.cpu())) {
            throw new IllegalArgumentException("--cpu is none that this process may use: " + launch.cpu() + "; it may "
                    + Machine.cpus().stream().map(String::valueOf).collect(Collectors.joining(",")));
        }
        if (!(launch.quota() > 0 && launch.quota() <= 1)) {
            throw new IllegalArgumentException("--quota is not a share: " + launch.quota());
        }
        if (rounds < 0 || seconds < 1 || warmup < 0 || servers < 1) {
            throw new IllegalArgumentException("--rounds, --seconds, --warmup and --servers count from 1");
        }
        scenarios = scenarios.isEmpty() ? Scenario.all() : List.copyOf(scenarios);
    }

    /** The CPU that a sidecar gets if nothing is said. */
    public static int lastCpu() {
        return Machine.cpus().get(Machine.cpus().size() - 1);
    }

    /** What there is to measure. */
    public static Set<String> known() {
        return Set.copyOf(Scenario.all());
    }

    int roundsOr(int usual) {
        return rounds > 0 ? rounds : usual;
    }
}
