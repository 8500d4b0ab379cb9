package peppergauge.lab.cost;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import peppergauge.lab.load.Generator;
import peppergauge.lab.load.Tally;
import peppergauge.lab.process.Proc;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.process.Usage;
import peppergauge.lab.wire.Loop;

/** One load on a sidecar of its own: its start, a warm-up, and rounds without a pause between them. */
final class LoadRun {

    private static final int ROUNDS = 3;
    /** Once to warm the harness up, once to count. */
    private static final int ALONE_S = 2;

    /** One round's figures. {@code othersShare} is the part of the sidecar's CPU that something else took. */
    record Round(
            int requests,
            double cpuUs,
            double switches,
            Map<String, Integer> ends,
            double p50Ms,
            double p99Ms,
            double p999Ms,
            long rssMb,
            int threads,
            double perS,
            double othersShare,
            double lagMs,
            double probes,
            long connections) {

        static Round of(Tally tally, Usage before, Usage after, double busyMs, StandIns.Counts came) {
            Usage.Spent spent = after.since(before);
            double requests = Math.max(1, tally.requests());
            return new Round(
                    tally.requests(),
                    spent.cpuMs() * 1000 / requests,
                    spent.switches() / requests,
                    tally.ends(),
                    tally.latencyMs(50),
                    tally.latencyMs(99),
                    tally.latencyMs(99.9),
                    after.rssKb() / 1024,
                    after.threads().size(),
                    requests * 1000 / spent.wallMs(),
                    Math.max(0, busyMs - spent.cpuMs()) / spent.wallMs(),
                    tally.lagMs(99),
                    came.probes() / requests,
                    came.connections());
        }

        Map<String, Object> json() {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("requests", requests);
            json.put("requestsPerS", perS);
            json.put("cpuUsPerRequest", cpuUs);
            json.put("switchesPerRequest", switches);
            json.put("ends", ends);
            json.put("p50Ms", p50Ms);
            json.put("p99Ms", p99Ms);
            json.put("p999Ms", p999Ms);
            json.put("rssMb", rssMb);
            json.put("threads", threads);
            json.put("othersShare", othersShare);
            json.put("lagP99Ms", lagMs);
            json.put("probesPerRequest", probes);
            json.put("newServerConnections", connections);
            return json;
        }
    }

    private final Options options;
    private final Scenario scenario;
    private final Map<String, Object> example;

    LoadRun(Options options, Scenario scenario, Map<String, Object> example) {
        this.options = options;
        this.scenario = scenario;
        this.example = example;
    }

    /** The load straight to a stand-in: what it shows is the harness's own, and the machine's. */
    private Tally alone() throws IOException, InterruptedException {
        try (StandIns standIns = new StandIns(1, scenario.delay(), Example.zone(example), options.seed());
                Loop loop = new Loop("generator")) {
            Generator generator = generator(loop, standIns.address(0));
            TimeUnit.SECONDS.sleep(ALONE_S);
            generator.nextRound();
            TimeUnit.SECONDS.sleep(ALONE_S);
            return generator.nextRound();
        }
    }

    private Generator generator(Loop loop, InetSocketAddress target) {
        Generator generator = new Generator(
                loop,
                target,
                scenario.shape(),
                new ExampleRequests(Example.settings(example), scenario.ratePerS(), options.seed()));
        loop.start();
        return generator;
    }

    Map<String, Object> run() throws IOException, InterruptedException {
        options.out().println("\n" + scenario + ", " + options.servers() + " backend servers");
        Print print = new Print(options.out());
        Tally alone = alone();
        print.alone(alone);
        try (StandIns standIns =
                        new StandIns(options.servers(), scenario.delay(), Example.zone(example), options.seed());
                SidecarProcess sidecar = Cost.start(options, example, standIns)) {
            SidecarProcess.Took start = sidecar.awaitUp();
            print.start(start);
            List<Object> rounds = new ArrayList<>();
            Usage first;
            Usage last;
            try (Loop loop = new Loop("generator")) {
                Generator generator = generator(loop, sidecar.address());
                TimeUnit.SECONDS.sleep(options.warmup());
                print.roundHead();
                first = sidecar.usage();
                last = first;
                double busyMs = Proc.busyMs(options.launch().cpu());
                StandIns.Counts counts = standIns.counts();
                generator.nextRound();
                for (int i = 1; i <= options.roundsOr(ROUNDS); i++) {
                    TimeUnit.SECONDS.sleep(options.seconds());
                    Tally tally = generator.nextRound();
                    Usage now = sidecar.usage();
                    double nowBusyMs = Proc.busyMs(options.launch().cpu());
                    StandIns.Counts nowCounts = standIns.counts();
                    Round round = Round.of(tally, last, now, nowBusyMs - busyMs, nowCounts.since(counts));
                    print.round(i, round);
                    rounds.add(round.json());
                    last = now;
                    busyMs = nowBusyMs;
                    counts = nowCounts;
                }
            }
            Usage.Spent spent = last.since(first);
            print.threads(spent);
            sidecar.terminate();
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("scenario", scenario.toString());
            result.put("aloneP50Ms", alone.latencyMs(50));
            result.put("aloneP99Ms", alone.latencyMs(99));
            result.put("aloneP999Ms", alone.latencyMs(99.9));
            result.put("startWallMs", start.wallMs());
            result.put("startCpuMs", start.cpuMs());
            result.put("rounds", rounds);
            result.put("cpuMsByThread", spent.cpuMsByThread());
            return result;
        }
    }
}
