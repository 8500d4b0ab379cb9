package peppergauge.lab.result;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.RunResult.ClassResult;
import peppergauge.lab.result.RunResult.Second;
import peppergauge.lab.result.RunResult.Totals;

/**
 * Counts requests, their outcomes and their cost in a run, by second and by class of requests, for a
 * {@link RunResult}. Works in real and in virtual time. Memory grows by some hundred bytes per second, whatever the
 * request rate. Not safe for use by several threads.
 */
public abstract class RunMeters {

    private final List<SecondCounters> seconds = new ArrayList<>(List.of(new SecondCounters()));
    private final List<ClassCounters> classes;
    private long inTime;
    private long late;
    private long lost;
    private long tries;
    private long connections;
    private long probes;
    private double workMs;
    private double wastedMs;

    private static final class SecondCounters {

        private double worthAsked;
        private double worth;
        private int asked;
        private int answered;
        private int attempts;
        private int furtherAttempts;
        private int denied;
        private int failed;
        private int connections;
        private double p50Ms;
        private double p99Ms;
    }

    private static final class ClassCounters {

        private final String name;
        private final Histogram latency = Latency.empty();
        private long asked;
        private double worthAsked;
        private double worth;

        ClassCounters(String name) {
            this.name = name;
        }
    }

    /** @param classNames names of the classes of requests; other methods take their indexes */
    protected RunMeters(List<String> classNames) {
        classes = classNames.stream().map(ClassCounters::new).toList();
    }

    /** Returns the index of the current second, from 0. */
    protected final int second() {
        return seconds.size() - 1;
    }

    /** Returns the attempts of the current second to all servers. */
    protected final int attempts() {
        return current().attempts;
    }

    private SecondCounters current() {
        return seconds.get(second());
    }

    /** Ends the current second and begins the next; latencies are in ms, 0 without responses. */
    protected final void closeSecond(double p50Ms, double p99Ms) {
        current().p50Ms = p50Ms;
        current().p99Ms = p99Ms;
        seconds.add(new SecondCounters());
    }

    /** Counts the arrival of a request. */
    protected final void countArrival(int classIndex, double worth) {
        current().asked++;
        current().worthAsked += worth;
        classes.get(classIndex).asked++;
        classes.get(classIndex).worthAsked += worth;
    }

    /**
     * Counts the end of a request.
     *
     * @param second second of its arrival
     * @param worth worth that it earned
     * @param answered whether it got a response by its deadline
     * @param timely whether it got a response within the aim of its class
     */
    protected final void countEnd(
            int classIndex, int second, double worth, boolean answered, boolean timely, double tookMs) {
        if (answered) {
            Latency.record(classes.get(classIndex).latency, tookMs);
        }
        inTime += timely ? 1 : 0;
        late += answered && !timely ? 1 : 0;
        lost += answered ? 0 : 1;
        classes.get(classIndex).worth += worth;
        seconds.get(second).worth += worth;
        seconds.get(second).answered += answered ? 1 : 0;
    }

    /** Counts a request that a client sent, for the first time or as a retry. */
    public final void countTry() {
        tries++;
    }

    /** Counts an attempt; {@code further} if it is not the first one of its try. */
    protected final void attempt(boolean further) {
        current().attempts++;
        current().furtherAttempts += further ? 1 : 0;
    }

    /** Counts a rejected request. */
    public final void countRejected() {
        current().denied++;
    }

    /** Counts a failed request. */
    public final void failed() {
        current().failed++;
    }

    /** Counts a connection that was opened to a backend server. */
    public final void connected() {
        connections++;
        current().connections++;
    }

    /** Counts a probe. */
    public final void countProbe() {
        probes++;
    }

    /** Adds work of a server, in ms of a standard core; {@code wasted} if no client gets a response for it. */
    public final void addWork(double standardMs, boolean wasted) {
        workMs += standardMs;
        wastedMs += wasted ? standardMs : 0;
    }

    /** Returns the largest number of connections to backend servers that were opened in one second. */
    public final int maxConnectionsPerSecond() {
        return seconds.stream().mapToInt(each -> each.connections).max().orElse(0);
    }

    /** Returns the counts of the whole run. */
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

    private long sum(ToLongFunction<SecondCounters> counter) {
        return seconds.stream().mapToLong(counter).sum();
    }

    /** Returns the results of each class of requests. */
    protected final List<ClassResult> classes() {
        return classes.stream()
                .map(each ->
                        new ClassResult(each.name, each.asked, each.worthAsked, each.worth, Latency.of(each.latency)))
                .toList();
    }

    /** Returns the results of the seconds that have ended. */
    protected final List<Second> seconds() {
        List<Second> results = new ArrayList<>();
        for (SecondCounters each : seconds.subList(0, second())) {
            results.add(new Second(
                    results.size(),
                    each.worthAsked,
                    each.worth,
                    each.asked,
                    each.answered,
                    each.attempts,
                    each.furtherAttempts,
                    each.denied,
                    each.failed,
                    each.p50Ms,
                    each.p99Ms));
        }
        return results;
    }

    /** Rounds a share or a capacity of a server to four decimal places, as results have it. */
    protected static double rounded(double share) {
        return Math.round(share * 1e4) / 1e4;
    }
}
