package peppergauge.lab.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.lab.load.ArrivalSource;
import peppergauge.lab.load.Request;
import peppergauge.lab.standin.Delay;

/** A Poisson process of requests with classes and tenants drawn from the settings. */
final class ExampleRequests implements ArrivalSource {

    /** Share of requests that are not idempotent, if the settings have both kinds. */
    private static final double NON_IDEMPOTENT_SHARE = 0.31;

    private static final int KEYS = 500;
    private static final String BODY = "x".repeat(200);

    private record RequestClass(String name, boolean idempotent, long deadlineMs) {}

    private final List<RequestClass> idempotent = new ArrayList<>();
    private final List<RequestClass> nonIdempotent = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final double ratePerS;
    private final SplittableRandom interarrivals;
    private final SplittableRandom attributes;
    private final String prefix;
    private long count;

    ExampleRequests(Map<String, Object> settings, double ratePerS, long seed) {
        this.ratePerS = ratePerS;
        interarrivals = new SplittableRandom(seed);
        attributes = interarrivals.split();
        prefix = Long.toHexString(attributes.nextLong());
        for (Object element : (List<?>) settings.get("profiles")) {
            Map<?, ?> profile = (Map<?, ?>) element;
            boolean isIdempotent = !"at_most_once".equals(profile.get("effect"));
            (isIdempotent ? idempotent : nonIdempotent)
                    .add(new RequestClass(
                            (String) profile.get("name"),
                            isIdempotent,
                            ((Number) profile.get("deadlineMs")).longValue()));
        }
        for (Object tenant : (List<?>) settings.get("tenants")) {
            tenants.add((String) ((Map<?, ?>) tenant).get("name"));
        }
    }

    @Override
    public long nextNs(long lastNs) {
        return lastNs + (long) Delay.exponential(interarrivals, 1e9 / ratePerS);
    }

    @Override
    public Request next() {
        boolean isIdempotent =
                nonIdempotent.isEmpty() || !idempotent.isEmpty() && attributes.nextDouble() >= NON_IDEMPOTENT_SHARE;
        RequestClass requestClass = drawFrom(isIdempotent ? idempotent : nonIdempotent);
        long deadlineNs = requestClass.deadlineMs * 1_000_000;
        return new Request(
                prefix + "-" + count++,
                "/" + requestClass.name + "/listener-" + attributes.nextInt(KEYS),
                drawFrom(tenants),
                requestClass.idempotent ? "" : BODY,
                deadlineNs,
                deadlineNs,
                false);
    }

    private <T> T drawFrom(List<T> list) {
        return list.get(attributes.nextInt(list.size()));
    }
}
