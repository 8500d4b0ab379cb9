package peppergauge.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Who may be closed, against what happened to each connection. */
class ConnectionEvictionPolicyPropertiesTest {

    private static final class Expected {

        private int pending;
        private boolean silent, reading, served;
        private double sinceMs, firstByteMs;

        private boolean mayBeEvicted(double nowMs) {
            return pending == 0
                    && nowMs - sinceMs > (silent ? 5 : 50)
                    && (!reading || !served && nowMs - firstByteMs > 500);
        }
    }

    /** Each number is what happens next, to which of six connections, and how much later. */
    @Property(seed = "1", tries = 1_000)
    void onlyIdleConnectionsAreEvictedThoseWithoutBytesFirst(
            @ForAll @Size(max = 120) List<@IntRange(max = 29_999) Integer> steps) {
        ConnectionEvictionPolicy<Integer> policy = new ConnectionEvictionPolicy<>();
        Map<Integer, Expected> seen = new HashMap<>();
        double nowMs = 0;
        for (int step : steps) {
            int connection = step % 6;
            nowMs += step / 30 % 200;
            Expected one = seen.computeIfAbsent(connection, fresh -> new Expected());
            switch (step / 6 % 5) {
                case 0 -> {
                    policy.onClosed(connection);
                    policy.onOpened(connection, nowMs);
                    seen.put(connection, one = new Expected());
                    one.silent = true;
                    one.sinceMs = nowMs;
                }
                case 1 -> {
                    policy.onBytesRead(connection, nowMs);
                    one.firstByteMs = one.reading ? one.firstByteMs : nowMs;
                    one.reading = true;
                    one.silent = false;
                }
                case 2 -> {
                    policy.onRequestReceived(connection);
                    one.reading = one.silent = false;
                    one.pending++;
                }
                case 3 -> {
                    boolean isValid = step % 4 != 0;
                    policy.onResponseSent(connection, nowMs, isValid);
                    one.served |= isValid && one.pending > 0;
                    one.sinceMs = one.pending > 0 ? nowMs : one.sinceMs;
                    one.pending = Math.max(0, one.pending - 1);
                }
                default -> {
                    double at = nowMs;
                    Integer evicted = policy.nextToEvict(nowMs);
                    if (evicted != null) {
                        assertTrue(seen.get(evicted).mayBeEvicted(at), "evicted within its grace period");
                        assertTrue(
                                seen.get(evicted).silent
                                        || seen.values().stream()
                                                .noneMatch(other -> other.silent && other.mayBeEvicted(at)),
                                "one without bytes goes first");
                        policy.onClosed(evicted);
                        seen.remove(evicted);
                    }
                }
            }
        }
    }

    /** 500 clients that say nothing, or send half a request, come while 20 active ones pause. */
    @Property(seed = "2", tries = 50)
    void aBurstEvictsItselfAndNoActiveClient(
            @ForAll boolean halfARequest, @ForAll @IntRange(min = 24, max = 100) int places) {
        int room = halfARequest ? Math.max(places, 41) : places;
        ConnectionEvictionPolicy<Integer> policy = new ConnectionEvictionPolicy<>();
        int open = 20;
        for (int active = 0; active < 20; active++) {
            policy.onOpened(active, 0);
            for (int request = 0; request < 2; request++) {
                policy.onRequestReceived(active);
                policy.onResponseSent(active, 2 + active, true);
            }
        }
        double nowMs = 500;
        for (int burst = 20; burst < 520; burst++) {
            while (open >= room) {
                nowMs += 1;
                Integer evicted = policy.nextToEvict(nowMs);
                if (evicted != null) {
                    assertFalse(evicted < 20, "an active client was evicted");
                    policy.onClosed(evicted);
                    open--;
                }
            }
            policy.onOpened(burst, nowMs);
            if (halfARequest) {
                policy.onBytesRead(burst, nowMs);
            }
            open++;
        }
        // A whole room of them waits for one grace.
        double mostMs = 1_000 + (1 + 500 / (room - 20)) * (halfARequest ? 501 : 6);
        assertTrue(nowMs <= mostMs, "the last was accepted at " + nowMs);
        for (int i = 20 - room; i < 20; i++) {
            Integer evicted = policy.nextToEvict(nowMs + 1_000);
            assertTrue(i < 0 ? evicted >= 20 : evicted == i, "the burst first, then the longest idle");
        }
        assertNull(policy.nextToEvict(nowMs + 1_000));
    }

    /** On a recorded day each request came on a connection of its own that stayed: clients ran out of theirs. */
    @Property(seed = "3", tries = 20)
    void singleRequestConnectionsKeepToTheirLimit(@ForAll @IntRange(min = 1, max = 50) int most) {
        ConnectionEvictionPolicy<Integer> policy = new ConnectionEvictionPolicy<>();
        policy.onOpened(-1, 0);
        for (int request = 0; request < 2; request++) {
            policy.onRequestReceived(-1);
            policy.onResponseSent(-1, 0, true);
        }
        int open = 0;
        for (int client = 0; client < 200; client++) {
            double nowMs = client * 150.0;
            policy.onOpened(client, nowMs);
            policy.onRequestReceived(client);
            policy.onResponseSent(client, nowMs, true);
            open++;
            for (Integer spare = policy.nextSurplus(nowMs, most);
                    spare != null;
                    spare = policy.nextSurplus(nowMs, most)) {
                assertTrue(spare >= 0 && spare < client, "recurring connections and recent responses stay");
                policy.onClosed(spare);
                open--;
            }
            assertTrue(open <= most + 1, open + " are kept");
        }
    }
}
