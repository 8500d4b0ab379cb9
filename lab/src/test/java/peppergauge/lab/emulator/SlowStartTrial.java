package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import peppergauge.lab.emulator.ColdServerBudgetRecorder.RequestWindow;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;

/**
 * Compares the requests of all sidecars to starting servers with the budget of the rule on cold servers. Sidecars have
 * unequal traffic; servers are replaced, killed and restarted, and become unresponsive and recover, during a burst of
 * 1.5 times the usual rate and with lost responses. The results are in docs/FLEET.md.
 */
final class SlowStartTrial {

    private static final int FAST_SERVERS = 7;
    private static final int SLOW_SERVERS = 6;
    /** Requests per second before the burst; 60% of the capacity of all servers. */
    private static final int REQUESTS_PER_S = 260;

    /**
     * The sidecars of one trial; servers and total traffic are the same for all trials.
     *
     * @param skew exponent by which traffic falls from the first sidecar to the last
     */
    record SidecarFleet(int sidecars, double skew) {

        /** Traffic of the busiest sidecar relative to the mean of all. */
        double busiest() {
            return sidecars
                    / IntStream.rangeClosed(1, sidecars)
                            .mapToDouble(i -> Math.pow(i, -skew))
                            .sum();
        }
    }

    /** Limits of the settings for a cold server. */
    enum ColdStartLimits {
        /** The platform's limits: dozens to hundreds of requests in 3 s. */
        USUAL(
                "cold-share = 0.32\ncold-time = '8.7 s'\nfall-multiple = 2.5\nfall-time = '3 s'\n",
                "cold-from = 0.32\ncold-time = '8.7 s'\n"),
        /** 4 to 25 requests in 1 s, so that one request from each of a hundred sidecars exceeds the limit. */
        TIGHT(
                "cold-share = 0.15\ncold-time = '8 s'\nfall-multiple = 1.2\nfall-time = '1 s'\n",
                "cold-from = 0.15\ncold-time = '8 s'\n");

        private final String rules;
        /** Server settings: as cold as the rules assume. */
        private final String servers;

        ColdStartLimits(String rules, String servers) {
            this.rules = rules;
            this.servers = servers;
        }
    }

    static final List<SidecarFleet> FLEETS = List.of(
            new SidecarFleet(2, 1), new SidecarFleet(6, 1), new SidecarFleet(30, 0.6), new SidecarFleet(100, 0.6));

    private static final String CLASSES = """
            [[class]]
            name = "save"
            share = 0.35
            work = "90 ms"
            aim = "500 ms"
            deadline = "2.5 s"
            worth = 5

            [[class]]
            name = "list"
            share = 0.34
            work = "90 ms"
            aim = "400 ms"
            deadline = "1 s"
            late-worth = 0.3

            [[class]]
            name = "donation"
            share = 0.31
            work = "75 ms"
            aim = "400 ms"
            deadline = "2 s"
            worth = 10
            effect = "unsafe"
            """;

    /** Fast discovery, so that the ramp is measured and not the sidecars that do not know of a start yet. */
    private static final String FAST_DISCOVERY = """
            [discovery]
            notice = "300 ms"
            spread = "100 ms"
            silent-notice = "1 s"
            """;

    /** One server is replaced, another is killed for 2 s, and a third is unresponsive for 2 s. */
    private static final String INCIDENTS = """
            [[at]]
            time = "3 s"
            what = "deploy"
            target = "share:0.08"
            size = 1
            part = 1.0
            length = "1 s"

            [[at]]
            time = "3 s"
            what = "kill"
            target = "share:0.08"
            length = "2 s"

            [[at]]
            time = "4 s"
            what = "vanish"
            target = "share:0.08"
            length = "2 s"

            [[at]]
            time = "3 s"
            what = "lose-answers"
            target = "share:0.2"
            part = 0.1
            length = "7 s"

            [[at]]
            time = "3500 ms"
            what = "burst"
            target = "all"
            size = 1.5
            length = "6 s"
            """;

    /** Result of one run with the recorded budgets. */
    record Run(long seed, List<ColdServerBudgetRecorder> budgets, RunResult result) {

        /** Windows of all cold servers that received requests. */
        Stream<RequestWindow> windows(Function<ColdServerBudgetRecorder, RequestWindow> which) {
            return budgets.stream().map(which).filter(Objects::nonNull);
        }

        Stream<BackendAttempt> attempts() {
            return budgets.stream().flatMap(budget -> budget.attempts().stream());
        }
    }

    private SlowStartTrial() {}

    static Scenario scenario(SidecarFleet fleet, ColdStartLimits limits) {
        return BundledScenarios.read("kind = \"scenario\"\n[run]\nlength = \"10 s\"\n"
                + "[network]\nzones = [\"north\", \"bay\", \"hill\", \"ridge\"]\n"
                + servers("gen-b", FAST_SERVERS, 1.8, limits) + servers("gen-a", SLOW_SERVERS, 0.9, limits)
                + CLASSES + "[clients]\nrate = " + REQUESTS_PER_S + "\n"
                + "[sidecars]\ncount = " + fleet.sidecars() + "\nskew = " + fleet.skew() + "\n"
                + "[rules]\n" + limits.rules + FAST_DISCOVERY + INCIDENTS);
    }

    private static String servers(String name, int count, double speed, ColdStartLimits limits) {
        return "[[servers]]\nname = \"" + name + "\"\ncount = " + count + "\nspeed = " + speed + "\n" + limits.servers;
    }

    static Run run(Scenario scenario, long seed, PlantedFault faults) {
        double shares =
                scenario.classes().stream().mapToDouble(RequestClassSpec::share).sum();
        double meanWorkMs = scenario.classes().stream()
                .mapToDouble(kind -> kind.share() / shares * Scenario.toMillis(kind.work()))
                .sum();
        List<ColdServerBudgetRecorder> budgets = new ArrayList<>();
        RunResult result = Emulator.run(
                "slow-start",
                scenario.withSeed(seed),
                faults,
                context -> context.coldBudgets = server -> {
                    budgets.add(new ColdServerBudgetRecorder(context, server, meanWorkMs));
                    return budgets.get(budgets.size() - 1);
                });
        return new Run(seed, budgets, result);
    }

    static List<Run> runs(Scenario scenario, long seeds) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> run(scenario, seed, PlantedFault.NONE))
                .toList();
    }

    /** Arguments: number of seeds, and names of bundled scenarios to run instead of the trials. */
    public static void main(String[] args) {
        long seeds = Long.parseLong(args[0]);
        for (String stock : List.of(args).subList(1, args.length)) {
            System.out.println(stock);
            print(runs(BundledScenarios.scenario(stock), seeds));
        }
        for (ColdStartLimits limits : args.length > 1 ? new ColdStartLimits[0] : ColdStartLimits.values()) {
            for (SidecarFleet fleet : FLEETS) {
                System.out.printf(
                        Locale.ROOT,
                        "%s, %d sidecars, the busiest with %.1f times the mean%n",
                        limits,
                        fleet.sidecars(),
                        fleet.busiest());
                print(runs(scenario(fleet, limits), seeds));
            }
        }
    }

    private static void print(List<Run> runs) {
        print("largest excess", runs, ColdServerBudgetRecorder::worst, RequestWindow::excess);
        print("the same, told", runs, ColdServerBudgetRecorder::worstInformed, RequestWindow::excess);
        print("largest share", runs, ColdServerBudgetRecorder::fullest, RequestWindow::used);
        printCounts(runs);
    }

    private static void print(
            String name,
            List<Run> runs,
            Function<ColdServerBudgetRecorder, RequestWindow> which,
            ToDoubleFunction<RequestWindow> size) {
        Map.Entry<Run, RequestWindow> worst = runs.stream()
                .flatMap(run -> run.windows(which).map(window -> Map.entry(run, window)))
                .max(Comparator.comparingDouble(entry -> size.applyAsDouble(entry.getValue())))
                .orElseThrow();
        RequestWindow window = worst.getValue();
        System.out.printf(
                Locale.ROOT,
                "  %s: %.1f sent, %.1f budget, N %.1f: excess %.1f, share %.2f; seed %d, %s,"
                        + " %.0f ms after its start; told %.2f, asked again %.2f, further attempts %.2f, busiest %.2f of %d;"
                        + " over budget in %d seeds%n",
                name,
                window.sent(),
                window.budget(),
                window.allowed(),
                window.excess(),
                window.used(),
                worst.getKey().seed(),
                window.server(),
                window.sinceStartMs(),
                window.informedShare(),
                window.clientRetry(),
                window.retry(),
                window.busiestShare(),
                window.sidecars(),
                runs.stream()
                        .filter(run -> run.windows(which).anyMatch(each -> each.excess() > 0))
                        .count());
    }

    private static void printCounts(List<Run> runs) {
        List<BackendAttempt> attempts = runs.stream().flatMap(Run::attempts).toList();
        System.out.printf(
                Locale.ROOT,
                "  %d attempts at cold servers, %d of them further ones, %d given up; %d probes;"
                        + " service %.3f; broken rules %s%n",
                attempts.size(),
                attempts.stream().filter(BackendAttempt::retry).count(),
                attempts.stream().filter(BackendAttempt::aborted).count(),
                runs.stream().mapToLong(run -> run.result().totals().probes()).sum(),
                runs.stream()
                        .mapToDouble(run -> run.result().totals().service())
                        .average()
                        .orElseThrow(),
                runs.stream()
                        .flatMap(run -> run.result().broken().stream())
                        .map(RunResult.Broken::about)
                        .distinct()
                        .toList());
    }
}
