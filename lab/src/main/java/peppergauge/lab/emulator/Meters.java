package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.Latency;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.Second;
import peppergauge.lab.result.RunResult.ServerResult;
import peppergauge.lab.result.RunResult.Totals;
import peppergauge.lab.scenario.Scenario;

/** Counts what happens, by second; what it keeps grows by some hundred bytes a second, whatever the rate. */
final class Meters {

    private final Scenario scenario;
    private final VirtualTime time;
    private final Fleet fleet;
    private final List<Counts> seconds = new ArrayList<>();
    private final Histogram[] latency;
    private final double[] worthAsked;
    private final double[] worth;
    private final long[] asked;
    private final List<Line> lines = new ArrayList<>();
    /** Latencies of the answers in the present second. */
    private double[] present = new double[256];
    private int presentCount;
    private long inTime;
    private long late;
    private long lost;
    private long tries;
    private long connections;
    private long probes;
    private int felled;
    private double workMs;
    private double wastedMs;

    private static final class Counts {

        private double worthAsked;
        private double worth;
        private int asked;
        private int answered;
        private int attempts;
        private int further;
        private int denied;
        private int failed;
        private int connections;
        private double p50Ms;
        private double p99Ms;
    }

    /** One server by second. */
    private static final class Line {

        private int attempts;
        private int[] inFlight = new int[64];
        private float[] weight = new float[64];
        private float[] capacity = new float[64];

        void grow(int second) {
            if (second >= inFlight.length) {
                inFlight = Arrays.copyOf(inFlight, 2 * second);
                weight = Arrays.copyOf(weight, 2 * second);
                capacity = Arrays.copyOf(capacity, 2 * second);
            }
        }
    }

    Meters(Scenario scenario, VirtualTime time, Fleet fleet) {
        this.scenario = scenario;
        this.time = time;
        this.fleet = fleet;
        int classes = scenario.classes().size();
        latency = new Histogram[classes];
        Arrays.setAll(latency, i -> Latency.empty());
        worthAsked = new double[classes];
        worth = new double[classes];
        asked = new long[classes];
        seconds.add(new Counts());
    }

    /** Closes each second; to be called once at the start. */
    void start() {
        time.after(1_000, () -> {
            closeSecond();
            start();
        });
    }

    private Counts now() {
        return seconds.get(seconds.size() - 1);
    }

    private void closeSecond() {
        int second = seconds.size() - 1;
        Counts counts = now();
        Arrays.sort(present, 0, presentCount);
        counts.p50Ms = presentCount == 0 ? 0 : present[presentCount / 2];
        counts.p99Ms = presentCount == 0 ? 0 : present[Math.min(presentCount - 1, presentCount * 99 / 100)];
        presentCount = 0;
        for (BackendServer server : fleet.all()) {
            Line line = line(server, second);
            line.inFlight[second] = server.held();
            line.capacity[second] = (float) server.capacity();
            line.weight[second] = counts.attempts == 0 ? 0 : (float) line.attempts / counts.attempts;
            line.attempts = 0;
        }
        seconds.add(new Counts());
    }

    private Line line(BackendServer server, int second) {
        while (lines.size() <= server.index()) {
            Line fresh = new Line();
            fresh.grow(second);
            Arrays.fill(fresh.inFlight, 0, second, -1);
            lines.add(fresh);
        }
        Line line = lines.get(server.index());
        line.grow(second);
        return line;
    }

    void asked(ClientRequest request) {
        Counts counts = now();
        request.second = seconds.size() - 1;
        counts.asked++;
        counts.worthAsked += request.worth;
        worthAsked[request.kind] += request.worth;
        asked[request.kind]++;
    }

    /** The client has its answer, or has given up for good. */
    void settled(ClientRequest request, boolean served) {
        double tookMs = VirtualTime.ms(time.now() - request.arrived);
        double share = !served ? 0 : tookMs <= Scenario.ms(scenario.classes().get(request.kind).aim()) ? 1
                : time.now() <= request.deadline ? scenario.classes().get(request.kind).lateWorth() : 0;
        boolean answered = served && time.now() <= request.deadline;
        if (answered) {
            Latency.record(latency[request.kind], tookMs);
            if (presentCount == present.length) {
                present = Arrays.copyOf(present, 2 * presentCount);
            }
            present[presentCount++] = tookMs;
        }
        inTime += share == 1 ? 1 : 0;
        late += answered && share < 1 ? 1 : 0;
        lost += answered ? 0 : 1;
        worth[request.kind] += share * request.worth;
        Counts counts = seconds.get(request.second);
        counts.worth += share * request.worth;
        counts.answered += answered ? 1 : 0;
    }

    void tried() {
        tries++;
    }

    void attempt(BackendServer server, boolean further) {
        now().attempts++;
        now().further += further ? 1 : 0;
        line(server, seconds.size() - 1).attempts++;
    }

    void denied() {
        now().denied++;
    }

    void failed() {
        now().failed++;
    }

    void connected() {
        connections++;
        now().connections++;
    }

    void probed() {
        probes++;
    }

    /** A server has done so much work; {@code wasted} if nobody gets an answer for it. */
    void worked(double standardMs, boolean wasted) {
        workMs += standardMs;
        wastedMs += wasted ? standardMs : 0;
    }

    /** A cold server was pushed over, by whomever. */
    void felled() {
        felled++;
    }

    int felledServers() {
        return felled;
    }

    /** Connections opened to backend servers in the second in which most were. */
    int mostConnectionsASecond() {
        return seconds.stream().mapToInt(counts -> counts.connections).max().orElse(0);
    }

    Totals totals() {
        return new Totals(Arrays.stream(asked).sum(), Arrays.stream(worthAsked).sum(), Arrays.stream(worth).sum(),
                inTime, late, lost, tries, sum(counts -> counts.attempts), sum(counts -> counts.denied),
                sum(counts -> counts.failed), connections, probes, workMs, wastedMs);
    }

    private long sum(java.util.function.ToLongFunction<Counts> figure) {
        return seconds.stream().mapToLong(figure).sum();
    }

    List<ClassResult> classes() {
        List<ClassResult> results = new ArrayList<>();
        for (int i = 0; i < latency.length; i++) {
            results.add(new ClassResult(scenario.classes().get(i).name(), asked[i], worthAsked[i], worth[i],
                    Latency.of(latency[i])));
        }
        return results;
    }

    /** The seconds that are over. */
    List<Second> seconds() {
        List<Second> results = new ArrayList<>();
        for (int i = 0; i < seconds.size() - 1; i++) {
            Counts c = seconds.get(i);
            results.add(new Second(i, c.worthAsked, c.worth, c.asked, c.answered, c.attempts, c.further, c.denied,
                    c.failed, c.p50Ms, c.p99Ms));
        }
        return results;
    }

    List<ServerResult> servers() {
        List<ServerResult> results = new ArrayList<>();
        int over = seconds.size() - 1;
        for (BackendServer server : fleet.all()) {
            Line line = line(server, over);
            List<Integer> inFlight = new ArrayList<>();
            List<Double> weight = new ArrayList<>();
            List<Double> capacity = new ArrayList<>();
            for (int i = 0; i < over; i++) {
                inFlight.add(line.inFlight[i]);
                weight.add(rounded(line.weight[i]));
                capacity.add(rounded(line.capacity[i]));
            }
            results.add(new ServerResult(server.id(), server.kind().name(),
                    scenario.network().zones().get(server.zone()), inFlight, weight, capacity));
        }
        return results;
    }

    private static double rounded(float share) {
        return Math.round(share * 1e4) / 1e4;
    }

    /** Of the run so far. */
    RunResult result(String name, double lengthS, String digest, List<RunResult.Broken> broken,
            List<RunResult.ScriptEvent> events) {
        return new RunResult(RunResult.FORMAT, name, "emulate", scenario.run().seed(), lengthS, digest, broken,
                totals(), classes(), seconds(), servers(), events);
    }
}
