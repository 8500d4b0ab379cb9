package peppergauge.lab.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.lab.load.Request;
import peppergauge.lab.load.Source;
import peppergauge.lab.standin.Delay;

/** Draws requests of the classes and tenants that the settings name, at Poisson times. */
final class ExampleRequests implements Source {

    /** Share of requests that must not run twice, where the settings have both kinds. */
    private static final double UNSAFE_SHARE = 0.31;

    private static final int KEYS = 500;
    private static final String BODY = "x".repeat(200);

    private record Kind(String name, boolean safe, long patienceMs) {}

    private final List<Kind> safe = new ArrayList<>();
    private final List<Kind> unsafe = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final double ratePerS;
    private final SplittableRandom times;
    private final SplittableRandom kinds;
    private final String prefix;
    private long count;

    ExampleRequests(Map<String, Object> settings, double ratePerS, long seed) {
        this.ratePerS = ratePerS;
        times = new SplittableRandom(seed);
        kinds = times.split();
        prefix = Long.toHexString(kinds.nextLong());
        for (Object element : (List<?>) settings.get("profiles")) {
            Map<?, ?> profile = (Map<?, ?>) element;
            boolean repeats = !"at_most_once".equals(profile.get("effect"));
            (repeats ? safe : unsafe)
                    .add(new Kind(
                            (String) profile.get("name"), repeats, ((Number) profile.get("deadlineMs")).longValue()));
        }
        for (Object tenant : (List<?>) settings.get("tenants")) {
            tenants.add((String) ((Map<?, ?>) tenant).get("name"));
        }
    }

    @Override
    public long nextNs(long lastNs) {
        return lastNs + (long) Delay.exponential(times, 1e9 / ratePerS);
    }

    @Override
    public Request next() {
        boolean repeats = unsafe.isEmpty() || !safe.isEmpty() && kinds.nextDouble() >= UNSAFE_SHARE;
        Kind kind = one(repeats ? safe : unsafe);
        long patienceNs = kind.patienceMs * 1_000_000;
        return new Request(
                prefix + "-" + count++,
                "/" + kind.name + "/listener-" + kinds.nextInt(KEYS),
                one(tenants),
                kind.safe ? "" : BODY,
                patienceNs,
                patienceNs,
                false);
    }

    private <T> T one(List<T> list) {
        return list.get(kinds.nextInt(list.size()));
    }
}
