package peppergauge.lab.play;

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
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;

/** Counts what happens, by second, as results have it. */
final class Meters {

    private final Scenario scenario;
    private final Timers timers;
    private final List<Counts> seconds = new ArrayList<>(List.of(new Counts()));
    private final List<Line> lines = new ArrayList<>();
    private final Kind[] kinds;
    private Histogram present = Latency.empty();
    private long inTime;
    private long late;
    private long lost;
    private long tries;
    private long connections;
    private long probes;
    private double workMs;
    private double wastedMs;

    private static final class Counts {

        private double worthAsked;
        private double worth;
        private long asked;
        private long answered;
        private long attempts;
        private long further;
        private long denied;
        private long failed;
        private double p50Ms;
        private double p99Ms;
    }

    private static final class Kind {

        private final Histogram latency = Latency.empty();
        private long asked;
        private double worthAsked;
        private double worth;
    }

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
        this.scenario = scenario;
        this.timers = timers;
        kinds = new Kind[scenario.classes().size()];
        Arrays.setAll(kinds, i -> new Kind());
    }

    /** A number for a further server. */
    int place(String name, String kind, int zone) {
        Line line = new Line(name, kind, scenario.network().zones().get(zone));
        for (int i = 1; i < seconds.size(); i++) {
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
        timers.after(seconds.size() * 1e3 - timers.nowMs(), () -> {
            closeSecond();
            start();
        });
    }

    private Counts now() {
        return seconds.get(seconds.size() - 1);
    }

    private void closeSecond() {
        Counts counts = now();
        if (present.getTotalCount() > 0) {
            counts.p50Ms = present.getValueAtPercentile(50) / 1e3;
            counts.p99Ms = present.getValueAtPercentile(99) / 1e3;
            present.reset();
        }
        for (Line line : lines) {
            Machine machine = line.machine;
            line.inFlight.add(machine.up() ? machine.model().held() : -1);
            line.weight.add(counts.attempts == 0 ? 0 : rounded((double) line.attempts / counts.attempts));
            line.capacity.add(machine.up() ? rounded(machine.model().capacity()) : 0);
            line.attempts = 0;
        }
        seconds.add(new Counts());
    }

    private static double rounded(double share) {
        return Math.round(share * 1e4) / 1e4;
    }

    void asked(Wish wish) {
        Counts counts = now();
        wish.second = seconds.size() - 1;
        counts.asked++;
        counts.worthAsked += wish.worth;
        kinds[wish.kind].asked++;
        kinds[wish.kind].worthAsked += wish.worth;
    }

    /** The client has its answer, or has given up for good. */
    void settled(Wish wish, boolean served) {
        double now = timers.nowMs();
        RequestKind about = scenario.classes().get(wish.kind);
        boolean answered = served && now <= wish.deadlineMs;
        boolean timely = answered && now - wish.arrivedMs <= Scenario.ms(about.aim());
        double worth = !answered ? 0 : timely ? wish.worth : about.lateWorth() * wish.worth;
        if (answered) {
            Latency.record(kinds[wish.kind].latency, now - wish.arrivedMs);
            Latency.record(present, now - wish.arrivedMs);
        }
        inTime += timely ? 1 : 0;
        late += answered && !timely ? 1 : 0;
        lost += answered ? 0 : 1;
        kinds[wish.kind].worth += worth;
        seconds.get(wish.second).worth += worth;
        seconds.get(wish.second).answered += answered ? 1 : 0;
    }

    void tried() {
        tries++;
    }

    void attempt(Machine machine, boolean further) {
        now().attempts++;
        now().further += further ? 1 : 0;
        lines.get(machine.index()).attempts++;
    }

    void denied() {
        now().denied++;
    }

    void failed() {
        now().failed++;
    }

    void connected() {
        connections++;
    }

    void probed() {
        probes++;
    }

    /** A server has done so much work, ms of a standard core; {@code wasted} if nobody waits for the answer. */
    void worked(double standardMs, boolean wasted) {
        workMs += standardMs;
        wastedMs += wasted ? standardMs : 0;
    }

    private Totals totals() {
        long asked = 0;
        double worthAsked = 0;
        double worth = 0;
        for (Kind kind : kinds) {
            asked += kind.asked;
            worthAsked += kind.worthAsked;
            worth += kind.worth;
        }
        return new Totals(asked, worthAsked, worth, inTime, late, lost, tries,
                seconds.stream().mapToLong(counts -> counts.attempts).sum(),
                seconds.stream().mapToLong(counts -> counts.denied).sum(),
                seconds.stream().mapToLong(counts -> counts.failed).sum(), connections, probes, workMs, wastedMs);
    }

    private List<ClassResult> classes() {
        List<ClassResult> results = new ArrayList<>();
        for (int i = 0; i < kinds.length; i++) {
            results.add(new ClassResult(scenario.classes().get(i).name(), kinds[i].asked, kinds[i].worthAsked,
                    kinds[i].worth, Latency.of(kinds[i].latency)));
        }
        return results;
    }

    /** The seconds that are over. */
    private List<Second> seconds() {
        List<Second> results = new ArrayList<>();
        for (Counts c : seconds.subList(0, seconds.size() - 1)) {
            results.add(new Second(results.size(), c.worthAsked, c.worth, c.asked, c.answered, c.attempts, c.further,
                    c.denied, c.failed, c.p50Ms, c.p99Ms));
        }
        return results;
    }

    RunResult result(String name, List<RunResult.Broken> broken, List<RunResult.ScriptEvent> events) {
        return new RunResult(RunResult.FORMAT, name, "play", scenario.run().seed(),
                Scenario.ms(scenario.run().length()) / 1e3, "", broken, totals(), classes(), seconds(),
                lines.stream().map(line -> new ServerResult(line.name, line.kind, line.zone, line.inFlight,
                        line.weight, line.capacity)).toList(), events);
    }
}
