package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.Latency;
import peppergauge.lab.result.RunMeters;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.ServerResult;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;

/** Counts what happens, by second, as results have it. */
final class Meters extends RunMeters {

    private final Scenario scenario;
    private final Timers timers;
    private final List<Line> lines = new ArrayList<>();
    private final Histogram present = Latency.empty();

    /** One server by second; {@code machine} is null until it stands. */
    private static final class Line {

        private final String name;
        private final String kind;
        private final String zone;
        private final List<Integer> inFlight = new ArrayList<>();
        private final List<Double> weight = new ArrayList<>();
        private final List<Double> capacity = new ArrayList<>();
        private Machine machine;
        private long attempts;

        Line(String name, String kind, String zone) {
            this.name = name;
            this.kind = kind;
            this.zone = zone;
        }
    }

    Meters(Scenario scenario, Timers timers) {
        super(scenario.classes().stream().map(RequestKind::name).toList());
        this.scenario = scenario;
        this.timers = timers;
    }

    /** A number for a further server. */
    int place(String name, String kind, int zone) {
        Line line = new Line(name, kind, scenario.network().zones().get(zone));
        for (int i = 1; i <= second(); i++) {
            line.inFlight.add(-1);
            line.weight.add(0.0);
            line.capacity.add(0.0);
        }
        lines.add(line);
        return lines.size() - 1;
    }

    void stands(Machine machine) {
        lines.get(machine.index()).machine = machine;
    }

    /** Closes each second; to be called once at the start. */
    void start() {
        timers.after((second() + 1) * 1e3 - timers.nowMs(), () -> {
            closeSecond();
            start();
        });
    }

    private void closeSecond() {
        for (Line line : lines) {
            Machine machine = line.machine;
            line.inFlight.add(machine.up() ? machine.model().held() : -1);
            line.weight.add(attempts() == 0 ? 0 : rounded((double) line.attempts / attempts()));
            line.capacity.add(machine.up() ? rounded(machine.model().capacity()) : 0);
            line.attempts = 0;
        }
        boolean none = present.getTotalCount() == 0;
        closeSecond(
                none ? 0 : present.getValueAtPercentile(50) / 1e3, none ? 0 : present.getValueAtPercentile(99) / 1e3);
        present.reset();
    }

    void asked(Wish wish) {
        wish.second = second();
        asked(wish.kind, wish.worth);
    }

    /** The client has its answer, or has given up for good. */
    void settled(Wish wish, boolean served) {
        double now = timers.nowMs();
        RequestKind about = scenario.classes().get(wish.kind);
        boolean answered = served && now <= wish.deadlineMs;
        boolean timely = answered && now - wish.arrivedMs <= Scenario.ms(about.aim());
        double worth = !answered ? 0 : timely ? wish.worth : about.lateWorth() * wish.worth;
        if (answered) {
            Latency.record(present, now - wish.arrivedMs);
        }
        settled(wish.kind, wish.second, worth, answered, timely, now - wish.arrivedMs);
    }

    void attempt(Machine machine, boolean further) {
        attempt(further);
        lines.get(machine.index()).attempts++;
    }

    RunResult result(String name, List<RunResult.Broken> broken, List<RunResult.ScriptEvent> events) {
        return new RunResult(
                RunResult.FORMAT,
                name,
                "play",
                scenario.run().seed(),
                Scenario.ms(scenario.run().length()) / 1e3,
                "",
                broken,
                totals(),
                classes(),
                seconds(),
                lines.stream()
                        .map(line -> new ServerResult(
                                line.name, line.kind, line.zone, line.inFlight, line.weight, line.capacity))
                        .toList(),
                events);
    }
}
