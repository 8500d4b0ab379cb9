package peppergauge.fleet.client;

import java.util.List;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.request.IncomingRequest;

/** Counts a sample of keys in bounded memory. Not thread-safe; runs on the event loop. */
public final class SampledKeyStatistics implements KeyStatistics {

    /** Smallest sample size, in keys. */
    public static final int MIN_KEYS = 16;
    /** Largest sample size, in keys: its report fits the service's default limit with any counts. */
    public static final int MAX_KEYS = 4_096;

    private final KeySampler sampler;
    private final KnownEndpoints endpoints;
    private final KeyServiceTimes times;

    private SampledKeyStatistics(int maxKeys, List<String> zones) {
        sampler = new KeySampler(maxKeys);
        endpoints = new KnownEndpoints(zones);
        times = new KeyServiceTimes(endpoints::kindOf);
    }

    /**
     * Returns statistics of a sample.
     *
     * @param maxKeys 0 for none, else {@value #MIN_KEYS} to {@value #MAX_KEYS}
     * @param zones names by index
     */
    public static KeyStatistics of(int maxKeys, List<String> zones) {
        if (maxKeys == 0) {
            return NONE;
        }
        KeyStatistics keys = new SampledKeyStatistics(maxKeys, zones);
        boolean checked = false;
        assert checked = true;
        return checked ? new FailSafeKeyStatistics(keys) : keys;
    }

    @Override
    public void onRequest(IncomingRequest request, String tenant, double nowMs) {
        String key = request.message() == null ? null : keyOf(request.message().target());
        if (key == null) {
            return;
        }
        sampler.onRequest(key, tenant, (long) nowMs);
        long hash = KeySampler.hash(key);
        times.onRequest(request.id(), hash, request.requestClass(), sampler.isSampled(hash));
    }

    @Override
    public void onAttemptSent(String id, String server, double nowMs) {
        times.onAttemptSent(id, server, nowMs);
    }

    @Override
    public void onAttemptEnded(AttemptEnded attempt) {
        times.onAttemptEnded(attempt.id(), attempt.server(), attempt.outcome() == Outcome.SUCCESS, attempt.latencyMs());
    }

    @Override
    public void onRequestEnded(String id) {
        times.onRequestEnded(id);
    }

    @Override
    public void onEndpointUpdate(boolean complete, List<Endpoint> updated) {
        endpoints.onEndpointUpdate(complete, updated);
    }

    @Override
    public Snapshot snapshot() {
        return new Snapshot(sampler.report(), endpoints.copy(), times.serviceTimes(), times.responseTimes());
    }

    /**
     * Returns the key of a request: the last segment of its path, without the query. A path of one segment has no key:
     * the segment names the operation.
     *
     * @return null for none
     */
    static String keyOf(String target) {
        if (target == null || target.isEmpty() || target.charAt(0) != '/') {
            return null;
        }
        int query = target.indexOf('?');
        int end = query < 0 ? target.length() : query;
        int last = target.lastIndexOf('/', end - 1);
        return last <= 1 || last + 1 >= end ? null : target.substring(last + 1, end);
    }
}
