package peppergauge.lab.result;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * One run of a scenario: what reports and comparisons are made from. Lists are never null.
 *
 * @param format of this record, {@link #FORMAT}; another one cannot be read
 * @param scenario the file's name without its ending
 * @param made how the run was made: {@code emulate} or {@code play}
 * @param lengthS how long clients went on asking, s
 * @param digest of the event trace, hex; empty where there is none
 * @param broken the rules that were broken, in order; empty if none was
 * @param totals over the run
 * @param classes one for each class of the scenario, in its order
 * @param seconds one for each second, from 0 on, by when requests were asked or things happened
 * @param servers every backend server that ever stood, in the order of their coming
 * @param events what the script made happen
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record RunResult(
        int format,
        String scenario,
        String made,
        long seed,
        double lengthS,
        String digest,
        List<Broken> broken,
        Totals totals,
        List<ClassResult> classes,
        List<Second> seconds,
        List<ServerResult> servers,
        List<ScriptEvent> events) {

    /** Raised when a reader of the former one would misread. */
    public static final int FORMAT = 1;

    /** @throws IllegalArgumentException for another format */
    public RunResult {
        if (format != FORMAT) {
            throw new IllegalArgumentException("results of format " + format + " cannot be read; this is " + FORMAT);
        }
        broken = List.copyOf(broken);
        classes = List.copyOf(classes);
        seconds = List.copyOf(seconds);
        servers = List.copyOf(servers);
        events = List.copyOf(events);
    }

    /**
     * A broken rule.
     *
     * @param rule its name, a fixed word
     * @param atS when, s from the start
     * @param about one sentence
     * @param trace the last events up to it, one a line, oldest first
     */
    public record Broken(String rule, double atS, String about, List<String> trace) {

        /** A list that nobody changes. */
        public Broken {
            trace = List.copyOf(trace);
        }
    }

    /**
     * Counts over the run; a client's retries belong to its request.
     *
     * @param asked requests, without retries
     * @param worthAsked what they would have earned in time
     * @param worth what they earned
     * @param inTime answered within the aim; {@code late}: after it, within the deadline
     * @param lost neither
     * @param tries sessions at sidecars; {@code attempts}: sends to backend servers
     * @param denied sessions that were denied; {@code failed}: that failed
     * @param connections opened to backend servers
     * @param workDoneMs at backend servers, ms of a standard core; {@code workWastedMs} of it for no answer
     */
    public record Totals(
            long asked,
            double worthAsked,
            double worth,
            long inTime,
            long late,
            long lost,
            long tries,
            long attempts,
            long denied,
            long failed,
            long connections,
            long probes,
            double workDoneMs,
            double workWastedMs) {

        /** Worth earned of the worth asked, 0 to 1; 1 if nothing was asked. */
        public double service() {
            return worthAsked > 0 ? worth / worthAsked : 1;
        }
    }

    /**
     * One class of requests.
     *
     * @param latency of requests that were answered, from the first try on, waits included
     */
    public record ClassResult(String name, long asked, double worthAsked, double worth, Latency latency) {}

    /**
     * One second.
     *
     * @param second from 0
     * @param worthAsked of requests that came first in this second; {@code worth}: what these earned
     * @param asked such requests; {@code answered}: of these, in time or late
     * @param attempts sends to backend servers in this second, and of them {@code furtherAttempts} beyond the first
     *     of their session
     * @param denied final answers in this second; likewise {@code failed}
     * @param p50Ms latency of answers in this second; 0 if there was none
     */
    public record Second(
            int second,
            double worthAsked,
            double worth,
            long asked,
            long answered,
            long attempts,
            long furtherAttempts,
            long denied,
            long failed,
            double p50Ms,
            double p99Ms) {}

    /**
     * One backend server by second: the lists are as long as {@link #seconds}.
     *
     * @param zone its name
     * @param inFlight held at the end of each second, waiting ones too; -1 while it was not up
     * @param weight share of the second's attempts that went to it, over all sidecars, 0 to 1
     * @param capacity present share of its own full capacity at the end of each second, 0 to 1
     */
    public record ServerResult(
            String name, String kind, String zone, List<Integer> inFlight, List<Double> weight, List<Double> capacity) {

        /** Lists that nobody changes. */
        public ServerResult {
            inFlight = List.copyOf(inFlight);
            weight = List.copyOf(weight);
            capacity = List.copyOf(capacity);
        }
    }

    /**
     * What the script made happen.
     *
     * @param untilS its end, s; the end of the run if it has none
     * @param what as written in the script; {@code target} too
     */
    public record ScriptEvent(double atS, double untilS, String what, String target) {}
}
