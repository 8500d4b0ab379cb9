package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.Latency;
import peppergauge.lab.result.RunMeters;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ServerResult;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;

/** Collects the figures of a run per second, in the form of results. */
final class PlayMeters extends RunMeters {

    private final Scenario scenario;
    private final Timers timers;
    private final List<ServerSeries> serverSeries = new ArrayList<>();
    private final Histogram secondLatencies = Latency.empty();

    /** One server's figures per second; {@code server} is null until the server is created. */
    private static final class ServerSeries {

        private final String name;
        private final String kind;
        private final String zone;
        private final List<Integer> inFlight = new ArrayList<>();
        private final List<Double> weight = new ArrayList<>();
        private final List<Double> capacity = new ArrayList<>();
        private ServerInstance server;
        private long attempts;

        ServerSeries(String name, String kind, String zone) {
            this.name = name;
            this.kind = kind;
            this.zone = zone;
        }
    }

    PlayMeters(Scenario scenario, Timers timers) {
        super(scenario.classes().stream().map(RequestClassSpec::name).toList());
        this.scenario = scenario;
        this.timers = timers;
    }

    /** Adds a server and returns its index. */
    int addServer(String name, String kind, int zone) {
        ServerSeries series =
                new ServerSeries(name, kind, scenario.network().zones().get(zone));
        for (int i = 1; i <= second(); i++) {
            series.inFlight.add(-1);
            series.weight.add(0.0);
            series.capacity.add(0.0);
        }
        serverSeries.add(series);
        return serverSeries.size() - 1;
    }

    void serverStarted(ServerInstance server) {
        serverSeries.get(server.index()).server = server;
    }

    /** Closes each second from now on. Called once, at the start of a run. */
    void start() {
        timers.after((second() + 1) * 1e3 - timers.nowMs(), () -> {
            closeSecond();
            start();
        });
    }

    private void closeSecond() {
        for (ServerSeries series : serverSeries) {
            ServerInstance server = series.server;
            series.inFlight.add(server.up() ? server.model().heldRequests() : -1);
            series.weight.add(attempts() == 0 ? 0 : rounded((double) series.attempts / attempts()));
            series.capacity.add(server.up() ? rounded(server.model().capacity()) : 0);
            series.attempts = 0;
        }
        boolean none = secondLatencies.getTotalCount() == 0;
        closeSecond(
                none ? 0 : secondLatencies.getValueAtPercentile(50) / 1e3,
                none ? 0 : secondLatencies.getValueAtPercentile(99) / 1e3);
        secondLatencies.reset();
    }

    void requestArrived(LogicalRequest logicalRequest) {
        logicalRequest.second = second();
        countArrival(logicalRequest.kind, logicalRequest.worth);
    }

    /** Records that the client has its response, or makes no further attempt. */
    void requestSettled(LogicalRequest logicalRequest, boolean served) {
        double now = timers.nowMs();
        RequestClassSpec requestClass = scenario.classes().get(logicalRequest.kind);
        boolean answered = served && now <= logicalRequest.deadlineMs;
        boolean timely = answered && now - logicalRequest.arrivedMs <= Scenario.toMillis(requestClass.aim());
        double worth = !answered ? 0 : timely ? logicalRequest.worth : requestClass.lateWorth() * logicalRequest.worth;
        if (answered) {
            Latency.record(secondLatencies, now - logicalRequest.arrivedMs);
        }
        countEnd(logicalRequest.kind, logicalRequest.second, worth, answered, timely, now - logicalRequest.arrivedMs);
    }

    void attempt(ServerInstance server, boolean isRetry) {
        attempt(isRetry);
        serverSeries.get(server.index()).attempts++;
    }

    RunResult result(String name, List<RunResult.Broken> broken, List<RunResult.ScriptEvent> events) {
        return new RunResult(
                RunResult.FORMAT,
                name,
                "play",
                scenario.run().seed(),
                Scenario.toMillis(scenario.run().length()) / 1e3,
                "",
                broken,
                totals(),
                classes(),
                seconds(),
                serverSeries.stream()
                        .map(series -> new ServerResult(
                                series.name, series.kind, series.zone, series.inFlight, series.weight, series.capacity))
                        .toList(),
                events);
    }
}
