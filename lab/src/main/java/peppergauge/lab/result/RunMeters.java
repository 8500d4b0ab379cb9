package peppergauge.lab.result;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.Second;
import peppergauge.lab.result.RunResult.Totals;

/**
 * What clients asked for and got in a run, and what that took, by second and by class of requests: as results have
 * it, in whatever time the run is. Grows by some hundred bytes a second, whatever the rate.
 */
public abstract class RunMeters {

    private final List<OneSecond> seconds = new ArrayList<>(List.of(new OneSecond()));
    private final List<OneClass> classes;
    private long inTime;
    private long late;
    private long lost;
    private long tries;
    private long connections;
    private long probes;
    private double workMs;
    private double wastedMs;

    private static final class OneSecond {

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

    private static final class OneClass {

        private final String name;
        private final Histogram latency = Latency.empty();
        private long asked;
        private double worthAsked;
        private double worth;

        OneClass(String name) {
            this.name = name;
        }
    }

    /** @param classes their names, by number */
    protected RunMeters(List<String> classes) {
        this.classes = classes.stream().map(OneClass::new).toList();
    }

    /** The number of the present second, from 0. */
    protected final int second() {
        return seconds.size() - 1;
    }

    /** Of the present second, to all servers. */
    protected final int attempts() {
        return now().attempts;
    }

    private OneSecond now() {
        return seconds.get(second());
    }

    /** The present second is over, and the next begins; its latencies in ms, 0 if nothing was answered. */
    protected final void closeSecond(double p50Ms, double p99Ms) {
        now().p50Ms = p50Ms;
        now().p99Ms = p99Ms;
        seconds.add(new OneSecond());
    }

    /** A request of this class has arrived. */
    protected final void asked(int kind, double worth) {
        now().asked++;
        now().worthAsked += worth;
        classes.get(kind).asked++;
        classes.get(kind).worthAsked += worth;
    }

    /**
     * A request is over.
     *
     * @param second in which it was asked
     * @param worth what it has earned
     * @param answered by its deadline
     * @param timely within its class's aim
     */
    protected final void settled(int kind, int second, double worth, boolean answered, boolean timely, double tookMs) {
        if (answered) {
            Latency.record(classes.get(kind).latency, tookMs);
        }
        inTime += timely ? 1 : 0;
        late += answered && !timely ? 1 : 0;
        lost += answered ? 0 : 1;
        classes.get(kind).worth += worth;
        seconds.get(second).worth += worth;
        seconds.get(second).answered += answered ? 1 : 0;
    }

    /** A client has sent its request, for the first time or again. */
    public final void tried() {
        tries++;
    }

    /** @param further not the first of its try */
    protected final void attempt(boolean further) {
        now().attempts++;
        now().further += further ? 1 : 0;
    }

    public final void denied() {
        now().denied++;
    }

    public final void failed() {
        now().failed++;
    }

    /** A connection to a backend server was opened. */
    public final void connected() {
        connections++;
        now().connections++;
    }

    public final void probed() {
        probes++;
    }

    /** A server has done so much work, ms of a standard core; {@code wasted} if nobody gets an answer for it. */
    public final void worked(double standardMs, boolean wasted) {
        workMs += standardMs;
        wastedMs += wasted ? standardMs : 0;
    }

    /** Connections opened to backend servers in the second in which most were. */
    public final int mostConnectionsASecond() {
        return seconds.stream().mapToInt(each -> each.connections).max().orElse(0);
    }

    protected final Totals totals() {
        return new Totals(
                classes.stream().mapToLong(each -> each.asked).sum(),
                classes.stream().mapToDouble(each -> each.worthAsked).sum(),
                classes.stream().mapToDouble(each -> each.worth).sum(),
                inTime,
                late,
                lost,
                tries,
                sum(each -> each.attempts),
                sum(each -> each.denied),
                sum(each -> each.failed),
                connections,
                probes,
                workMs,
                wastedMs);
    }

    private long sum(ToLongFunction<OneSecond> figure) {
        return seconds.stream().mapToLong(figure).sum();
    }

    protected final List<ClassResult> classes() {
        return classes.stream()
                .map(each ->
                        new ClassResult(each.name, each.asked, each.worthAsked, each.worth, Latency.of(each.latency)))
                .toList();
    }

    /** The seconds that are over. */
    protected final List<Second> seconds() {
        List<Second> results = new ArrayList<>();
        for (OneSecond each : seconds.subList(0, second())) {
            results.add(new Second(
                    results.size(),
                    each.worthAsked,
                    each.worth,
                    each.asked,
                    each.answered,
                    each.attempts,
                    each.further,
                    each.denied,
                    each.failed,
                    each.p50Ms,
                    each.p99Ms));
        }
        return results;
    }

    /** As servers' shares of attempts and their capacities stand in results: to a ten thousandth. */
    protected static double rounded(double share) {
        return Math.round(share * 1e4) / 1e4;
    }
}
