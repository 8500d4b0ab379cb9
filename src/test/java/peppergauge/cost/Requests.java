package peppergauge.cost;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Draws requests of the classes and tenants that the settings name; each has an id of its own. */
final class Requests {

    /** Share of requests that must not run twice, where the settings have both kinds. */
    private static final double UNSAFE_SHARE = 0.31;
    private static final int KEYS = 500;
    private static final String BODY = "x".repeat(200);

    private record Kind(String name, boolean safe, long patienceMs) { }

    /** The client waits for {@code patienceMs} from the time at which it wants to send. */
    record Request(String id, String path, boolean safe, String tenant, long patienceMs) {

        byte[] text(long remainingMs) {
            return ((safe ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                    + "\r\nX-Org: " + tenant + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                    + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY))
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private final List<Kind> safe = new ArrayList<>();
    private final List<Kind> unsafe = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final SplittableRandom random;
    private final String prefix;
    private long count;

    Requests(Map<String, Object> settings, SplittableRandom random) {
        this.random = random;
        this.prefix = Long.toHexString(random.nextLong());
        for (Object element : (List<?>) settings.get("profiles")) {
            Map<?, ?> profile = (Map<?, ?>) element;
            boolean repeats = !"at_most_once".equals(profile.get("effect"));
            (repeats ? safe : unsafe).add(new Kind((String) profile.get("name"), repeats,
                    ((Number) profile.get("deadlineMs")).longValue()));
        }
        for (Object tenant : (List<?>) settings.get("tenants")) {
            tenants.add((String) ((Map<?, ?>) tenant).get("name"));
        }
    }

    Request next() {
        boolean repeats = unsafe.isEmpty() || !safe.isEmpty() && random.nextDouble() >= UNSAFE_SHARE;
        Kind kind = one(repeats ? safe : unsafe);
        return new Request(prefix + "-" + count++, "/" + kind.name + "/listener-" + random.nextInt(KEYS), kind.safe,
                one(tenants), kind.patienceMs);
    }

    private <T> T one(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
