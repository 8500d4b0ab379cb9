package peppergauge.lab.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Scenario;
import peppergauge.log.Log;

/**
 * Produces the emulator's table in docs/COLD-START.md. The arguments are the scenario file scenarios/cold-power.toml
 * and numbers of sidecars.
 */
public final class ColdStartRuns {

    /** Additional faults by name: a line for the section [discovery], or further script entries. */
    private static final Map<String, String> CASES = cases();

    /** Second at which the power cut of the scenario begins. */
    private static final int CRASH_S = 10;
    /** Second at which the servers and sidecars restart. */
    private static final int RESTART_S = 13;
    /** End of the interval in which rejections are counted. */
    private static final int REJECTIONS_END_S = 30;
    /** Seconds at the start of the run that do not count as usual. */
    private static final int WARM_UP_S = 2;
    /** Share of the usual service from which service counts as recovered. */
    private static final double RECOVERED_SHARE = 0.99;

    private ColdStartRuns() {}

    public static void main(String[] args) throws Exception {
        Log.setSink((kind, text, passedOver) -> {});
        String text = Files.readString(Path.of(args[0]));
        for (int i = 1; i < args.length; i++) {
            for (Map.Entry<String, String> each : CASES.entrySet()) {
                for (String pace : List.of("prompt", "spread")) {
                    run(text, Integer.parseInt(args[i]), pace, each.getKey(), each.getValue());
                }
            }
        }
    }

    private static String at(double time, String what, String target, double length) {
        return String.format(
                Locale.ROOT,
                "%n[[at]]%ntime = \"%.0f s\"%nwhat = \"%s\"%ntarget = \"%s\"%nlength = \"%.0f s\"%n",
                time,
                what,
                target,
                length);
    }

    private static Map<String, String> cases() {
        Map<String, String> cases = new LinkedHashMap<>();
        cases.put("power", "");
        cases.put("one call in twenty", "answered = 0.05");
        cases.put("hangs for 20 s", at(10, "discovery-down", "all", 20));
        cases.put("half gone for good", at(9, "kill", "share:0.5", 1_000));
        StringBuilder loop = new StringBuilder();
        for (int time = 14; time < 44; time += 5) {
            loop.append(at(time, "sidecar-crash", "sidecars:0.33", 1));
        }
        cases.put("a third in a loop", loop.toString());
        return cases;
    }

    /** Servers and total traffic are the same for each number of sidecars, so more sidecars have less traffic each. */
    private static void run(String text, int sidecars, String pace, String which, String more) {
        Scenario scenario = BundledScenarios.read(text.replace("count = 300\n", "count = " + sidecars + "\n")
                        .replace("pace = \"prompt\"", "pace = \"" + pace + "\"\n" + (more.contains("[[") ? "" : more))
                + (more.contains("[[") ? more : ""));
        EmulationContext[] contexts = new EmulationContext[1];
        RunResult result = Emulator.run("cold", scenario, context -> contexts[0] = context);
        DiscoveryCallQueue calls = ((PlatformDiscovery) contexts[0].discovery).calls();
        List<Integer> made = calls.callsBySecond();
        int sum = made.stream().mapToInt(Integer::intValue).sum();
        System.out.print(String.format(
                Locale.ROOT,
                "%d %s, %s: calls peak %d, sum %d, open %d; handshakes peak %d, failed cold servers %d; ",
                sidecars,
                pace,
                which,
                made.stream().mapToInt(Integer::intValue).max().orElse(0),
                sum,
                calls.maxOpenCalls(),
                contexts[0].meters.maxConnectionsPerSecond(),
                contexts[0].meters.coldServerFailureCount()));
        List<RunResult.Second> seconds = result.seconds();
        double usual = seconds.subList(WARM_UP_S, CRASH_S).stream()
                .mapToDouble(s -> s.worth() / Math.max(1e-9, s.worthAsked()))
                .average()
                .orElse(1);
        int recoveredS = RESTART_S;
        for (int s = RESTART_S; s < seconds.size(); s++) {
            if (seconds.get(s).worth()
                    < RECOVERED_SHARE * usual * seconds.get(s).worthAsked()) {
                recoveredS = s + 1;
            }
        }
        long denied = seconds.stream()
                .filter(s -> s.second() >= RESTART_S && s.second() < REJECTIONS_END_S)
                .mapToLong(RunResult.Second::denied)
                .sum();
        System.out.println(String.format(
                Locale.ROOT,
                "service %.4f, denied 13..30 s %d of %d, recovered %d s after; connections %d; broken %s",
                result.totals().service(),
                denied,
                result.totals().tries(),
                recoveredS - RESTART_S,
                result.totals().connections(),
                result.broken().stream().map(b -> b.rule() + " " + b.about()).toList()));
    }
}
