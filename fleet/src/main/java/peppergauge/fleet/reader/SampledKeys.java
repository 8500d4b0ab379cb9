package peppergauge.fleet.reader;

import java.util.List;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.request.IncomingRequest;

/** Counts a sample of keys, in memory that is fixed from the start; on the loop, without locks. */
public final class SampledKeys implements KeySource {

    /** The sampler tells nothing by fewer. */
    public static final int LEAST = 16;
    /** A report of so many fits the service's largest body, whatever the counts. */
    public static final int MOST = 4_096;

    private final KeySampler sampler;
    private final ServerRoll roll;
    private final KeyTimes times;

    private SampledKeys(int mostKeys, List<String> zones) {
        sampler = new KeySampler(mostKeys);
        roll = new ServerRoll(zones);
        times = new KeyTimes(roll::kind);
    }

    /**
     * @param mostKeys 0 samples none, else {@value #LEAST} to {@value #MOST}
     * @param zones names, by their index
     */
    public static KeySource of(int mostKeys, List<String> zones) {
        if (mostKeys == 0) {
            return NONE;
        }
        KeySource keys = new SampledKeys(mostKeys, zones);
        boolean checked = false;
        assert checked = true;
        return checked ? new GuardedKeys(keys) : keys;
    }

    @Override
    public void opened(IncomingRequest opening, String station, double nowMs) {
        String key = opening.message() == null ? null : key(opening.message().target());
        if (key == null) {
            return;
        }
        sampler.seen(key, station, (long) nowMs);
        long hash = KeySampler.hash(key);
        times.opened(opening.id(), hash, opening.requestClass(), sampler.samples(hash));
    }

    @Override
    public void sent(String id, String server, double nowMs) {
        times.sent(id, server, nowMs);
    }

    @Override
    public void ended(AttemptEnded attempt) {
        times.ended(attempt.id(), attempt.server(), attempt.outcome() == Outcome.SUCCESS, attempt.latencyMs());
    }

    @Override
    public void over(String id) {
        times.over(id);
    }

    @Override
    public void listed(boolean whole, List<Endpoint> entries) {
        roll.listed(whole, entries);
    }

    @Override
    public Told told() {
        return new Told(sampler.report(), roll.copy(), times.seen(), times.levels());
    }

    /** The last part of a path of two parts or more, without its query; null for none. */
    static String key(String target) {
        if (target == null || target.isEmpty() || target.charAt(0) != '/') {
            return null;
        }
        int query = target.indexOf('?');
        int end = query < 0 ? target.length() : query;
        int last = target.lastIndexOf('/', end - 1);
        // With one part alone there is no key: what stands there names what is asked, not for whom.
        return last <= 1 || last + 1 >= end ? null : target.substring(last + 1, end);
    }
}
