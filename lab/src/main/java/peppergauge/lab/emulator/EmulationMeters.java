package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import peppergauge.lab.result.RunMeters;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ServerResult;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;

/**
 * Counts events per second of the run. Memory per server grows by a few bytes per second, independently of the rate.
 */
final class EmulationMeters extends RunMeters {

    private final Scenario scenario;
    private final VirtualTime time;
    private final BackendFleet fleet;
    private final List<ServerSeries> series = new ArrayList<>();
    /** Latencies of the responses in the current second. */
    private double[] latencies = new double[256];

    private int latencyCount;
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
        super(scenario.classes().stream().map(RequestClassSpec::name).toList());
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
            ServerSeries serverSeries = seriesOf(server, second);
            serverSeries.inFlight[second] = server.requestsHeld();
            serverSeries.capacity[second] = (float) server.capacity();
            serverSeries.weight[second] = attempts() == 0 ? 0 : (float) serverSeries.attempts / attempts();
            serverSeries.attempts = 0;
        }
        Arrays.sort(latencies, 0, latencyCount);
        closeSecond(
                latencyCount == 0 ? 0 : latencies[latencyCount / 2],
                latencyCount == 0 ? 0 : latencies[Math.min(latencyCount - 1, latencyCount * 99 / 100)]);
        latencyCount = 0;
    }

    private ServerSeries seriesOf(BackendServer server, int second) {
        while (series.size() <= server.index()) {
            ServerSeries fresh = new ServerSeries();
            fresh.grow(second);
            Arrays.fill(fresh.inFlight, 0, second, -1);
            series.add(fresh);
        }
        ServerSeries serverSeries = series.get(server.index());
        serverSeries.grow(second);
        return serverSeries;
    }

    void countArrival(ClientRequest request) {
        request.second = second();
        countArrival(request.kind, request.worth);
    }

    /** Records that the client has received its response or will not retry any more. */
    void countEnd(ClientRequest request, boolean served) {
        double tookMs = VirtualTime.ms(time.now() - request.arrived);
        double share = !served
                ? 0
                : tookMs
                                <= Scenario.toMillis(
                                        scenario.classes().get(request.kind).aim())
                        ? 1
                        : time.now() <= request.deadline
                                ? scenario.classes().get(request.kind).lateWorth()
                                : 0;
        boolean answered = served && time.now() <= request.deadline;
        if (answered) {
            if (latencyCount == latencies.length) {
                latencies = Arrays.copyOf(latencies, 2 * latencyCount);
            }
            latencies[latencyCount++] = tookMs;
        }
        countEnd(request.kind, request.second, share * request.worth, answered, share == 1, tookMs);
    }

    void attempt(BackendServer server, boolean retry) {
        attempt(retry);
        seriesOf(server, second()).attempts++;
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
        int closedSeconds = second();
        for (BackendServer server : fleet.all()) {
            ServerSeries serverSeries = seriesOf(server, closedSeconds);
            List<Integer> inFlight = new ArrayList<>();
            List<Double> weight = new ArrayList<>();
            List<Double> capacity = new ArrayList<>();
            for (int i = 0; i < closedSeconds; i++) {
                inFlight.add(serverSeries.inFlight[i]);
                weight.add(rounded(serverSeries.weight[i]));
                capacity.add(rounded(serverSeries.capacity[i]));
            }
            results.add(new ServerResult(
                    server.id(),
                    server.serverGroup().name(),
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
