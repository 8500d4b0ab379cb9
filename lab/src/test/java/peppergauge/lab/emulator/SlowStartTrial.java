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
import peppergauge.lab.emulator.MeasuredBudget.Peak;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.RequestKind;
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
    private static final int RATE = 260;

    /**
     * The sidecars of one trial; servers and total traffic are the same for all trials.
     *
     * @param skew exponent by which traffic falls from the first sidecar to the last
     */
    record Fleet(int sidecars, double skew) {

        /** Traffic of the busiest sidecar relative to the mean of all. */
        double busiest() {
            return sidecars
                    / IntStream.rangeClosed(1, sidecars)
                            .mapToDouble(i -> Math.pow(i, -skew))
                            .sum();
        }
    }

    /** Limits of the settings for a cold server. */
    enum Terms {
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

        Terms(String rules, String servers) {
            this.rules = rules;
            this.servers = servers;
        }
    }

    static final List<Fleet> FLEETS =
            List.of(new Fleet(2, 1), new Fleet(6, 1), new Fleet(30, 0.6), new Fleet(100, 0.6));

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
    private static final String TOLD = """
            [discovery]
            notice = "300 ms"
            spread = "100 ms"
            silent-notice = "1 s"
            """;

    /** One server is replaced, another is killed for 2 s, and a third is unresponsive for 2 s. */
    private static final String TROUBLES = """
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
    record Run(long seed, List<MeasuredBudget> budgets, RunResult result) {

        /** Windows of all cold servers that received requests. */
        Stream<Peak> peaks(Function<MeasuredBudget, Peak> which) {
            return budgets.stream().map(which).filter(Objects::nonNull);
        }

        Stream<Attempt> attempts() {
            return budgets.stream().flatMap(budget -> budget.attempts().stream());
        }
    }

    private SlowStartTrial() {}

    static Scenario scenario(Fleet fleet, Terms terms) {
        return Stock.read("kind = \"scenario\"\n[run]\nlength = \"10 s\"\n"
                + "[network]\nzones = [\"north\", \"bay\", \"hill\", \"ridge\"]\n"
                + servers("gen-b", FAST_SERVERS, 1.8, terms) + servers("gen-a", SLOW_SERVERS, 0.9, terms)
                + CLASSES + "[clients]\nrate = " + RATE + "\n"
                + "[sidecars]\ncount = " + fleet.sidecars() + "\nskew = " + fleet.skew() + "\n"
                + "[rules]\n" + terms.rules + TOLD + TROUBLES);
    }

    private static String servers(String name, int count, double speed, Terms terms) {
        return "[[servers]]\nname = \"" + name + "\"\ncount = " + count + "\nspeed = " + speed + "\n" + terms.servers;
    }

    static Run run(Scenario scenario, long seed, Sabotage sabotage) {
        double shares =
                scenario.classes().stream().mapToDouble(RequestKind::share).sum();
        double meanWorkMs = scenario.classes().stream()
                .mapToDouble(kind -> kind.share() / shares * Scenario.ms(kind.work()))
                .sum();
        List<MeasuredBudget> budgets = new ArrayList<>();
        RunResult result = Emulator.run(
                "slow-start",
                scenario.seeded(seed),
                sabotage,
                world -> world.coldBudgets = server -> {
                    budgets.add(new MeasuredBudget(world, server, meanWorkMs));
                    return budgets.get(budgets.size() - 1);
                });
        return new Run(seed, budgets, result);
    }

    static List<Run> runs(Scenario scenario, long seeds) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> run(scenario, seed, Sabotage.NONE))
                .toList();
    }

    /** Arguments: number of seeds, and names of bundled scenarios to run instead of the trials. */
    public static void main(String[] args) {
        long seeds = Long.parseLong(args[0]);
        for (String stock : List.of(args).subList(1, args.length)) {
            System.out.println(stock);
            print(runs(Stock.scenario(stock), seeds));
        }
        for (Terms terms : args.length > 1 ? new Terms[0] : Terms.values()) {
            for (Fleet fleet : FLEETS) {
                System.out.printf(
                        Locale.ROOT,
                        "%s, %d sidecars, the busiest with %.1f times the mean%n",
                        terms,
                        fleet.sidecars(),
                        fleet.busiest());
                print(runs(scenario(fleet, terms), seeds));
            }
        }
    }

    private static void print(List<Run> runs) {
        print("largest excess", runs, MeasuredBudget::worst, Peak::excess);
        print("the same, told", runs, MeasuredBudget::worstTold, Peak::excess);
        print("largest share", runs, MeasuredBudget::fullest, Peak::used);
        printCounts(runs);
    }

    private static void print(
            String name, List<Run> runs, Function<MeasuredBudget, Peak> which, ToDoubleFunction<Peak> size) {
        Map.Entry<Run, Peak> worst = runs.stream()
                .flatMap(run -> run.peaks(which).map(peak -> Map.entry(run, peak)))
                .max(Comparator.comparingDouble(entry -> size.applyAsDouble(entry.getValue())))
                .orElseThrow();
        Peak peak = worst.getValue();
        System.out.printf(
                Locale.ROOT,
                "  %s: %.1f sent, %.1f budget, N %.1f: excess %.1f, share %.2f; seed %d, %s,"
                        + " %.0f ms after its start; told %.2f, asked again %.2f, further attempts %.2f, busiest %.2f of %d;"
                        + " over budget in %d seeds%n",
                name,
                peak.sent(),
                peak.budget(),
                peak.allowed(),
                peak.excess(),
                peak.used(),
                worst.getKey().seed(),
                peak.server(),
                peak.sinceStartMs(),
                peak.toldShare(),
                peak.again(),
                peak.further(),
                peak.busiestShare(),
                peak.sidecars(),
                runs.stream()
                        .filter(run -> run.peaks(which).anyMatch(each -> each.excess() > 0))
                        .count());
    }

    private static void printCounts(List<Run> runs) {
        List<Attempt> attempts = runs.stream().flatMap(Run::attempts).toList();
        System.out.printf(
                Locale.ROOT,
                "  %d attempts at cold servers, %d of them further ones, %d given up; %d probes;"
                        + " service %.3f; broken rules %s%n",
                attempts.size(),
                attempts.stream().filter(Attempt::further).count(),
                attempts.stream().filter(Attempt::givenUp).count(),
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
