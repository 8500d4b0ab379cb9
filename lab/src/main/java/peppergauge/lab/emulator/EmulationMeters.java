package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import peppergauge.lab.result.RunMeters;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ServerResult;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;

/**
 * Counts events per second of the run. Memory per server grows by a few bytes per second, independently of the rate.
 */
final class EmulationMeters extends RunMeters {

    private final Scenario scenario;
    private final VirtualTime time;
    private final BackendFleet fleet;
    private final List<ServerSeries> lines = new ArrayList<>();
    /** Latencies of the responses in the current second. */
    private double[] present = new double[256];

    private int presentCount;
    private int coldServerFailures;

    /** Figures of one server by second. */
    private static final class ServerSeries {

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

    EmulationMeters(Scenario scenario, VirtualTime time, BackendFleet fleet) {
        super(scenario.classes().stream().map(RequestKind::name).toList());
        this.scenario = scenario;
        this.time = time;
        this.fleet = fleet;
    }

    /** Schedules the end of each second; called once at the start. */
    void start() {
        time.after(1_000, () -> {
            closeSecond();
            start();
        });
    }

    private void closeSecond() {
        int second = second();
        for (BackendServer server : fleet.all()) {
            ServerSeries line = line(server, second);
            line.inFlight[second] = server.requestsHeld();
            line.capacity[second] = (float) server.capacity();
            line.weight[second] = attempts() == 0 ? 0 : (float) line.attempts / attempts();
            line.attempts = 0;
        }
        Arrays.sort(present, 0, presentCount);
        closeSecond(
                presentCount == 0 ? 0 : present[presentCount / 2],
                presentCount == 0 ? 0 : present[Math.min(presentCount - 1, presentCount * 99 / 100)]);
        presentCount = 0;
    }

    private ServerSeries line(BackendServer server, int second) {
        while (lines.size() <= server.index()) {
            ServerSeries fresh = new ServerSeries();
            fresh.grow(second);
            Arrays.fill(fresh.inFlight, 0, second, -1);
            lines.add(fresh);
        }
        ServerSeries line = lines.get(server.index());
        line.grow(second);
        return line;
    }

    void asked(ClientRequest request) {
        request.second = second();
        asked(request.kind, request.worth);
    }

    /** Records that the client has received its response or will not retry any more. */
    void settled(ClientRequest request, boolean served) {
        double tookMs = VirtualTime.ms(time.now() - request.arrived);
        double share = !served
                ? 0
                : tookMs <= Scenario.ms(scenario.classes().get(request.kind).aim())
                        ? 1
                        : time.now() <= request.deadline
                                ? scenario.classes().get(request.kind).lateWorth()
                                : 0;
        boolean answered = served && time.now() <= request.deadline;
        if (answered) {
            if (presentCount == present.length) {
                present = Arrays.copyOf(present, 2 * presentCount);
            }
            present[presentCount++] = tookMs;
        }
        settled(request.kind, request.second, share * request.worth, answered, share == 1, tookMs);
    }

    void attempt(BackendServer server, boolean retry) {
        attempt(retry);
        line(server, second()).attempts++;
    }

    /** Counts a cold server that failed under overload, regardless of the cause. */
    void countColdServerFailure() {
        coldServerFailures++;
    }

    int coldServerFailureCount() {
        return coldServerFailures;
    }

    List<ServerResult> servers() {
        List<ServerResult> results = new ArrayList<>();
        int over = second();
        for (BackendServer server : fleet.all()) {
            ServerSeries line = line(server, over);
            List<Integer> inFlight = new ArrayList<>();
            List<Double> weight = new ArrayList<>();
            List<Double> capacity = new ArrayList<>();
            for (int i = 0; i < over; i++) {
                inFlight.add(line.inFlight[i]);
                weight.add(rounded(line.weight[i]));
                capacity.add(rounded(line.capacity[i]));
            }
            results.add(new ServerResult(
                    server.id(),
                    server.kind().name(),
                    scenario.network().zones().get(server.zone()),
                    inFlight,
                    weight,
                    capacity));
        }
        return results;
    }

    /** Result of the run so far. */
    RunResult result(
            String name,
            double lengthS,
            String digest,
            List<RunResult.Broken> broken,
            List<RunResult.ScriptEvent> events) {
        return new RunResult(
                RunResult.FORMAT,
                name,
                "emulate",
                scenario.run().seed(),
                lengthS,
                digest,
                broken,
                totals(),
                classes(),
                seconds(),
                servers(),
                events);
    }
}
