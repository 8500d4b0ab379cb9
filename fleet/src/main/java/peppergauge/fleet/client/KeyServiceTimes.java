package peppergauge.fleet.client;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.observation.ResponseTimeCounter;
import peppergauge.forecast.observation.ResponseTimes;

/**
 * Service times of sampled keys by the gap since this sidecar last sent the same key to the same server. A service time
 * is the latency, including queueing and network, divided by the mean latency of the server. Uses bounded memory; not
 * thread-safe, runs on the event loop.
 */
final class KeyServiceTimes {

    /** Most kinds of server in a report. */
    static final int MAX_SERVER_KINDS = 4;
    /** Most keys without an earlier send in a report, for each kind of server. */
    static final int MAX_FRESH_KEYS = 512;

    private static final int MAX_SENDS = 32_768;
    private static final int MAX_OPEN = 16_384;
    private static final int MAX_MEANS = 8_192;
    /** Responses that a mean must include before service times are divided by it. */
    private static final int MIN_RESPONSES = 16;
    /** Number of responses that the moving mean extends over. */
    private static final double MEAN_RESPONSES = 64;
    /** Limit of a relative service time, so that one stalled response does not dominate the sums. */
    private static final double MAX_RELATIVE_TIME = 5;

    private final ToIntFunction<String> kindOf;
    private final Map<String, OpenKeyRequest> open = new HashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    /** Time of the last send of each key to each server, oldest first, ms. */
    private final LinkedHashMap<SendKey, Double> sends = new LinkedHashMap<>();

    private final Map<MeanKey, RunningMean> means = new HashMap<>();
    private final TreeMap<Integer, ServiceTimes> times = new TreeMap<>();
    private final ResponseTimeCounter responseTimes = new ResponseTimeCounter();
    /** Start of the time in which all sends are known: since the first send, or since the newest one removed early. */
    private double knownSinceMs = Double.NaN;

    private record SendKey(long hash, String server) {}

    private record OpenKeyRequest(long hash, int requestClass, boolean sampled) {}

    /** @param gapMs NaN if unknown, infinite if the key was not sent to the server within the longest gap */
    private record Attempt(OpenKeyRequest request, String server, double gapMs) {}

    private record MeanKey(String server, int requestClass) {}

    private static final class RunningMean {
        private double meanMs;
        private int count;
    }

    /** @param kindOf returns the kind of a server */
    KeyServiceTimes(ToIntFunction<String> kindOf) {
        this.kindOf = kindOf;
    }

    /** Records a request with a key. A second request of the same id is ignored. */
    void onRequest(String id, long hash, int requestClass, boolean sampled) {
        if (open.size() < MAX_OPEN) {
            open.putIfAbsent(id, new OpenKeyRequest(hash, requestClass, sampled));
        }
    }

    void onAttemptSent(String id, String server, double nowMs) {
        if (Double.isNaN(knownSinceMs)) {
            knownSinceMs = nowMs;
        }
        OpenKeyRequest request = open.get(id);
        if (request == null) {
            return;
        }
        if (!request.sampled()) {
            if (attempts.size() < MAX_OPEN) {
                attempts.put(id, new Attempt(request, server, Double.NaN));
            }
            return;
        }
        SendKey key = new SendKey(request.hash(), server);
        Double before = sends.remove(key);
        if (attempts.size() < MAX_OPEN) {
            attempts.put(id, new Attempt(request, server, gapMs(before, nowMs)));
        }
        sends.put(key, nowMs);
        removeOldSends(nowMs);
    }

    /** Returns the gap; without an earlier send it is infinite only if all sends within the longest gap are known. */
    private double gapMs(Double before, double nowMs) {
        if (before != null) {
            return nowMs - before;
        }
        return nowMs - knownSinceMs >= ServiceTimes.MAX_GAP_MS ? Double.POSITIVE_INFINITY : Double.NaN;
    }

    private void removeOldSends(double nowMs) {
        Iterator<Double> oldest = sends.values().iterator();
        while (oldest.hasNext()) {
            double at = oldest.next();
            boolean old = nowMs - at > ServiceTimes.MAX_GAP_MS;
            if (!old && sends.size() <= MAX_SENDS) {
                return;
            }
            if (!old) {
                knownSinceMs = Math.max(knownSinceMs, at);
            }
            oldest.remove();
        }
    }

    /** @param success whether the attempt succeeded; failed attempts are not counted */
    void onAttemptEnded(String id, String server, boolean success, double latencyMs) {
        Attempt attempt = attempts.get(id);
        if (attempt == null || !attempt.server().equals(server)) {
            return;
        }
        attempts.remove(id);
        if (!success || !(latencyMs > 0)) {
            return;
        }
        responseTimes.onResponse(
                attempt.request().hash(),
                attempt.request().sampled(),
                kindOf.applyAsInt(server),
                attempt.request().requestClass(),
                attempt.gapMs(),
                latencyMs);
        if (!attempt.request().sampled()) {
            return;
        }
        RunningMean mean = meanOf(server, attempt.request().requestClass());
        if (mean.count >= MIN_RESPONSES && !Double.isNaN(attempt.gapMs())) {
            record(attempt, Math.min(MAX_RELATIVE_TIME, latencyMs / mean.meanMs));
        }
        mean.count++;
        mean.meanMs += (latencyMs - mean.meanMs) / Math.min(MEAN_RESPONSES, mean.count);
    }

    /** Drops all means when there are too many; servers in use regain theirs after a few responses. */
    private RunningMean meanOf(String server, int requestClass) {
        if (means.size() >= MAX_MEANS) {
            means.clear();
        }
        return means.computeIfAbsent(new MeanKey(server, requestClass), key -> new RunningMean());
    }

    private void record(Attempt attempt, double relative) {
        int kind = kindOf.applyAsInt(attempt.server());
        if (times.size() < MAX_SERVER_KINDS || times.containsKey(kind)) {
            times.computeIfAbsent(kind, key -> new ServiceTimes(MAX_FRESH_KEYS))
                    .onResponse(attempt.request().hash(), Math.max(1, attempt.gapMs()), relative);
        }
    }

    void onRequestEnded(String id) {
        open.remove(id);
    }

    /** Returns the response times of all requests with a key. */
    ResponseTimes responseTimes() {
        return responseTimes.snapshot();
    }

    /** Returns the service times by kind of server. */
    Map<String, Snapshot> serviceTimes() {
        Map<String, Snapshot> byKind = new TreeMap<>();
        times.forEach((kind, own) -> byKind.put(Integer.toString(kind), own.snapshot()));
        return byKind;
    }
}
