package peppergauge.cost;

import java.util.Map;
import java.util.TreeMap;

/** How the requests of a round ended. */
final class Tally {

    /** Ends without an answer that counts; see docs/COST.md. */
    static final String GAVE_UP = "gave up";
    static final String CLOSED = "closed";
    static final String UNSENT = "unsent";
    static final String WRONG = "wrong";

    final Map<String, Integer> ends = new TreeMap<>();
    /** Of the requests that were served: a denial is fast, and would make a bad round look good. */
    final Samples latencies = new Samples();
    /** How late the generator itself was: the figures of a round are worth no more than this. */
    final Samples lags = new Samples();

    void served(long latencyNs) {
        ended("200");
        latencies.add(latencyNs);
    }

    void ended(String how) {
        ends.merge(how, 1, Integer::sum);
    }

    int requests() {
        return ends.values().stream().mapToInt(Integer::intValue).sum();
    }
}
