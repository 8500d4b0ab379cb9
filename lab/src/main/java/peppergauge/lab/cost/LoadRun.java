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
import peppergauge.lab.process.ProcFiles;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.process.Usage;
import peppergauge.lab.wire.Loop;

/** Applies one load to a new sidecar: the start, a warm-up and consecutive measured rounds. */
final class LoadRun {

    private static final int DEFAULT_ROUNDS = 3;
    /** Length of each of the two phases without a sidecar: the warm-up of the harness and the measurement. */
    private static final int BASELINE_PHASE_S = 2;

    /** Figures of one round. {@code othersShare} is the share of the sidecar's CPU that other processes used. */
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

        static Round of(Tally tally, Usage before, Usage after, double busyMs, StandIns.Counts received) {
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
                    received.probes() / requests,
                    received.connections());
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

    private final CostOptions options;
    private final LoadProfile profile;
    private final Map<String, Object> example;

    LoadRun(CostOptions options, LoadProfile profile, Map<String, Object> example) {
        this.options = options;
        this.profile = profile;
        this.example = example;
    }

    /** Sends the load directly to a stand-in, which measures the latency of the harness and the machine. */
    private Tally measureBaseline() throws IOException, InterruptedException {
        try (StandIns standIns = new StandIns(1, profile.delay(), ExampleConfig.firstZone(example), options.seed());
                Loop loop = new Loop("generator")) {
            Generator generator = startGenerator(loop, standIns.address(0));
            TimeUnit.SECONDS.sleep(BASELINE_PHASE_S);
            generator.nextRound();
            TimeUnit.SECONDS.sleep(BASELINE_PHASE_S);
            return generator.nextRound();
        }
    }

    private Generator startGenerator(Loop loop, InetSocketAddress target) {
        Generator generator = new Generator(
                loop,
                target,
                profile.shape(),
                new ExampleRequests(ExampleConfig.settings(example), profile.ratePerS(), options.seed()));
        loop.start();
        return generator;
    }

    Map<String, Object> run() throws IOException, InterruptedException {
        options.out().println("\n" + profile + ", " + options.servers() + " backend servers");
        CostPrinter printer = new CostPrinter(options.out());
        Tally baseline = measureBaseline();
        printer.baseline(baseline);
        try (StandIns standIns = new StandIns(
                        options.servers(), profile.delay(), ExampleConfig.firstZone(example), options.seed());
                SidecarProcess sidecar = CostMeasurement.start(options, example, standIns)) {
            SidecarProcess.StartTimes start = sidecar.awaitUp();
            printer.start(start);
            List<Object> rounds = new ArrayList<>();
            Usage first;
            Usage last;
            try (Loop loop = new Loop("generator")) {
                Generator generator = startGenerator(loop, sidecar.address());
                TimeUnit.SECONDS.sleep(options.warmup());
                printer.roundHeader();
                first = sidecar.usage();
                last = first;
                double busyMs = ProcFiles.busyMs(options.launch().cpu());
                StandIns.Counts counts = standIns.counts();
                generator.nextRound();
                for (int i = 1; i <= options.roundsOr(DEFAULT_ROUNDS); i++) {
                    TimeUnit.SECONDS.sleep(options.seconds());
                    Tally tally = generator.nextRound();
                    Usage usageNow = sidecar.usage();
                    double busyNowMs = ProcFiles.busyMs(options.launch().cpu());
                    StandIns.Counts countsNow = standIns.counts();
                    Round round = Round.of(tally, last, usageNow, busyNowMs - busyMs, countsNow.since(counts));
                    printer.round(i, round);
                    rounds.add(round.json());
                    last = usageNow;
                    busyMs = busyNowMs;
                    counts = countsNow;
                }
            }
            Usage.Spent spent = last.since(first);
            printer.threads(spent);
            sidecar.terminate();
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("scenario", profile.toString());
            result.put("aloneP50Ms", baseline.latencyMs(50));
            result.put("aloneP99Ms", baseline.latencyMs(99));
            result.put("aloneP999Ms", baseline.latencyMs(99.9));
            result.put("startWallMs", start.wallMs());
            result.put("startCpuMs", start.cpuMs());
            result.put("rounds", rounds);
            result.put("cpuMsByThread", spent.cpuMsByThread());
            return result;
        }
    }
}
