package peppergauge.fleet.reader;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.seen.AnswerCounter;
import peppergauge.forecast.seen.AnswerLevels;

/**
 * Service times of sampled keys by the gap since this sidecar sent the same key to the same server. The time that an
 * answer took is all that is known here, waiting and network included; over the server's usual one. Bounded; on the
 * loop, without locks.
 */
final class KeyTimes {

    /** Kinds of server, and keys of each without a gap: a report has room for so many. */
    static final int MOST_KINDS = 4;

    static final int MOST_FRESH = 512;
    private static final int MOST_SENDS = 32_768;
    private static final int MOST_OUT = 16_384;
    private static final int MOST_USUAL = 8_192;
    /** Answers until a usual time is one, and over which it is a mean. */
    private static final int LEAST_USUAL = 16;

    private static final double USUAL_OVER = 64;
    /** One answer that stood still for long must not outweigh all others. */
    private static final double MOST_RELATIVE = 5;

    private final ToIntFunction<String> kindOf;
    private final Map<String, Asked> open = new HashMap<>();
    private final Map<String, Out> out = new HashMap<>();
    /** Oldest first. */
    private final LinkedHashMap<Sent, Double> sends = new LinkedHashMap<>();

    private final Map<Usually, Usual> usual = new HashMap<>();
    private final TreeMap<Integer, ServiceTimes> times = new TreeMap<>();
    private final AnswerCounter answers = new AnswerCounter();
    /** Of what was sent before nothing is known. */
    private double knownSinceMs = Double.NaN;

    private record Sent(long hash, String server) {}

    private record Asked(long hash, int requestClass, boolean sampled) {}

    private record Out(Asked asked, String server, double gapMs) {}

    private record Usually(String server, int requestClass) {}

    private static final class Usual {
        private double meanMs;
        private int count;
    }

    /** @param kindOf of a server, by its table */
    KeyTimes(ToIntFunction<String> kindOf) {
        this.kindOf = kindOf;
    }

    /** Of a session with a key. A second session of the same id is no other one. */
    void opened(String id, long hash, int requestClass, boolean sampled) {
        if (open.size() < MOST_OUT) {
            open.putIfAbsent(id, new Asked(hash, requestClass, sampled));
        }
    }

    void sent(String id, String server, double nowMs) {
        if (Double.isNaN(knownSinceMs)) {
            knownSinceMs = nowMs;
        }
        Asked asked = open.get(id);
        if (asked == null) {
            return;
        }
        if (!asked.sampled()) {
            if (out.size() < MOST_OUT) {
                out.put(id, new Out(asked, server, Double.NaN));
            }
            return;
        }
        Sent sent = new Sent(asked.hash(), server);
        Double before = sends.remove(sent);
        if (out.size() < MOST_OUT) {
            // Where none is known, there is none only if all of that time is known.
            double gapMs = before != null
                    ? nowMs - before
                    : nowMs - knownSinceMs >= ServiceTimes.FRESH_MS ? Double.POSITIVE_INFINITY : Double.NaN;
            out.put(id, new Out(asked, server, gapMs));
        }
        sends.put(sent, nowMs);
        forget(nowMs);
    }

    private void forget(double nowMs) {
        Iterator<Double> oldest = sends.values().iterator();
        while (oldest.hasNext()) {
            double at = oldest.next();
            boolean old = nowMs - at > ServiceTimes.FRESH_MS;
            if (!old && sends.size() <= MOST_SENDS) {
                return;
            }
            if (!old) {
                knownSinceMs = Math.max(knownSinceMs, at);
            }
            oldest.remove();
        }
    }

    /** @param answered in good order; of other endings nothing is learned */
    void ended(String id, String server, boolean answered, double tookMs) {
        Out attempt = out.get(id);
        if (attempt == null || !attempt.server().equals(server)) {
            return;
        }
        out.remove(id);
        if (!answered || !(tookMs > 0)) {
            return;
        }
        answers.answered(
                attempt.asked().hash(),
                attempt.asked().sampled(),
                kindOf.applyAsInt(server),
                attempt.asked().requestClass(),
                attempt.gapMs(),
                tookMs);
        if (!attempt.asked().sampled()) {
            return;
        }
        Usual own = usual(server, attempt.asked().requestClass());
        if (own.count >= LEAST_USUAL && !Double.isNaN(attempt.gapMs())) {
            learn(attempt, Math.min(MOST_RELATIVE, tookMs / own.meanMs));
        }
        own.count++;
        own.meanMs += (tookMs - own.meanMs) / Math.min(USUAL_OVER, own.count);
    }

    private Usual usual(String server, int requestClass) {
        if (usual.size() >= MOST_USUAL) {
            // Servers come and go; the present ones are known again after a few answers.
            usual.clear();
        }
        return usual.computeIfAbsent(new Usually(server, requestClass), key -> new Usual());
    }

    private void learn(Out attempt, double relative) {
        int kind = kindOf.applyAsInt(attempt.server());
        if (times.size() < MOST_KINDS || times.containsKey(kind)) {
            times.computeIfAbsent(kind, key -> new ServiceTimes(MOST_FRESH))
                    .answered(attempt.asked().hash(), Math.max(1, attempt.gapMs()), relative);
        }
    }

    void over(String id) {
        open.remove(id);
    }

    /** Of all answers to sessions with a key. */
    AnswerLevels levels() {
        return answers.levels();
    }

    /** By kind of server. */
    Map<String, Seen> seen() {
        Map<String, Seen> seen = new TreeMap<>();
        times.forEach((kind, own) -> seen.put(Integer.toString(kind), own.seen()));
        return seen;
    }
}
