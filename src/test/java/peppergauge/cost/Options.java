package peppergauge.cost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the command line asks for; {@code rounds} is 0 where it does not say. */
record Options(List<String> scenarios, Path checkout, String run, int cpu, int rounds, int seconds, int warmup,
        int servers, Delay delay, double quota, long seed, Path json) {

    static final String USAGE = """
            usage: bin/cost [220] [1200] [saturate] [start] [options]
              --dir DIR         measure the build of another checkout
              --run CMD         measure this command instead of the deploy file's `run`
              --cpu N           the sidecar's CPU (the last one); the load keeps off it
              --rounds N        rounds of each load (3), or starts (9)
              --seconds S       length of a round (5)
              --warmup S        load before the first round (5)
              --servers N       stand-in backend servers (13)
              --delay MS        their service time instead of the scenario's; exp:MS is exponential
              --quota SHARE     give the sidecar this share of its CPU, by stopping it for the rest of each 20 ms
              --seed N          seed of arrivals, classes and delays (1)
              --json FILE       write all figures there as well
            """;

    private static final Set<String> KNOWN = Set.of("--dir", "--run", "--cpu", "--rounds", "--seconds", "--warmup",
            "--servers", "--delay", "--quota", "--seed", "--json");

    static Options parse(String[] args, Path own) throws IOException {
        Map<String, String> given = new HashMap<>();
        List<String> scenarios = new ArrayList<>();
        for (int i = 0; i < args.length; i++) {
            if (!args[i].startsWith("--")) {
                scenarios.add(args[i]);
            } else if (KNOWN.contains(args[i]) && i + 1 < args.length) {
                given.put(args[i], args[++i]);
            } else {
                throw new IllegalArgumentException(args[i] + " is unknown or lacks its value");
            }
        }
        for (String name : scenarios) {
            if (!name.equals(Scenario.START)) {
                Scenario.named(name);
            }
        }
        Path checkout = given.containsKey("--dir") ? Path.of(given.get("--dir")) : own;
        String run = given.containsKey("--run") ? given.get("--run") : Deploy.run(checkout);
        int cpu = number(given, "--cpu", Machine.lastCpu(), 0);
        if (!Machine.cpus().contains(cpu)) {
            throw new IllegalArgumentException("--cpu is none that this process may use: " + cpu);
        }
        double quota = Double.parseDouble(given.getOrDefault("--quota", "1"));
        if (!(quota > 0 && quota <= 1)) {
            throw new IllegalArgumentException("--quota is not a share: " + quota);
        }
        return new Options(scenarios.isEmpty() ? List.of("220", "1200", "saturate", Scenario.START) : scenarios,
                checkout.toAbsolutePath(), run, cpu,
                given.containsKey("--rounds") ? number(given, "--rounds", 0, 1) : 0,
                number(given, "--seconds", 5, 1), number(given, "--warmup", 5, 0), number(given, "--servers", 13, 1),
                given.containsKey("--delay") ? Delay.parse(given.get("--delay")) : null, quota,
                Long.parseLong(given.getOrDefault("--seed", "1")),
                given.containsKey("--json") ? Path.of(given.get("--json")) : null);
    }

    private static int number(Map<String, String> given, String name, int otherwise, int least) {
        int value = given.containsKey(name) ? Integer.parseInt(given.get(name)) : otherwise;
        if (value < least) {
            throw new IllegalArgumentException(name + " is under " + least);
        }
        return value;
    }

    int roundsOr(int usual) {
        return rounds > 0 ? rounds : usual;
    }
}
