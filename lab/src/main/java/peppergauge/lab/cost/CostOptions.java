package peppergauge.lab.cost;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.standin.Delay;

/**
 * Options of a measurement.
 *
 * @param loads names of {@link LoadProfile}s, or {@code start}; all if empty
 * @param home checkout whose example configuration the sidecar gets
 * @param rounds number of rounds; 0 for the default
 * @param seconds length of a round
 * @param warmup seconds of load before the first round
 * @param servers number of stand-in backend servers
 * @param delay service time of the backend servers; null for that of the load
 * @param json file for all figures; null for none
 * @param out receives the printed tables
 */
public record CostOptions(
        List<String> loads,
        Path home,
        Launch launch,
        int rounds,
        int seconds,
        int warmup,
        int servers,
        Delay delay,
        long seed,
        Path json,
        PrintWriter out) {

    /** @throws IllegalArgumentException if an option is out of range, with a message for the user */
    public CostOptions {
        for (String name : loads) {
            if (!name.equals(LoadProfile.START)) {
                LoadProfile.named(name);
            }
        }
        if (!Machine.cpus().contains(launch.cpu())) {
            throw new IllegalArgumentException("--cpu must be a CPU that this process may use, but is " + launch.cpu()
                    + "; allowed: "
                    + Machine.cpus().stream().map(String::valueOf).collect(Collectors.joining(",")));
        }
        if (!(launch.quota() > 0 && launch.quota() <= 1)) {
            throw new IllegalArgumentException("--quota must be over 0 and at most 1, but is " + launch.quota());
        }
        if (rounds < 0 || seconds < 1 || warmup < 0 || servers < 1) {
            throw new IllegalArgumentException("--rounds and --warmup must not be negative, but are " + rounds + " and "
                    + warmup + "; --seconds and --servers must be at least 1, but are " + seconds + " and " + servers);
        }
        loads = loads.isEmpty() ? LoadProfile.all() : List.copyOf(loads);
    }

    /** The default CPU of the sidecar: the last one that this process may use. */
    public static int lastCpu() {
        return Machine.cpus().get(Machine.cpus().size() - 1);
    }

    /** Names of all measurements. */
    public static Set<String> known() {
        return Set.copyOf(LoadProfile.all());
    }

    int roundsOr(int defaultRounds) {
        return rounds > 0 ? rounds : defaultRounds;
    }
}
