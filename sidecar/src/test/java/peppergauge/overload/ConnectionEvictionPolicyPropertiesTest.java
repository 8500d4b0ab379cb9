package peppergauge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Checks which connections are evicted against a model of each connection's history. */
class ConnectionEvictionPolicyPropertiesTest {

    /** The history of a connection. */
    private static final class ModelConnection {

        private int pendingResponses;
        private boolean isSilent, isReading, isServed;
        private double idleSinceMs, firstByteMs;

        private boolean mayBeEvicted(double nowMs) {
            return pendingResponses == 0
                    && nowMs - idleSinceMs > (isSilent ? 5 : 50)
                    && (!isReading || !isServed && nowMs - firstByteMs > 500);
        }
    }

    /** Each number determines the next event, which of six connections it is for, and how much later it happens. */
    @Property(seed = "1", tries = 1_000)
    void evictsOnlyIdleConnectionsAndThoseWithoutBytesFirst(
            @ForAll @Size(max = 120) List<@IntRange(max = 29_999) Integer> steps) {
        ConnectionEvictionPolicy<Integer> policy = new ConnectionEvictionPolicy<>();
        Map<Integer, ModelConnection> model = new HashMap<>();
        double nowMs = 0;
        for (int step : steps) {
            int connection = step % 6;
            nowMs += step / 30 % 200;
            ModelConnection current = model.computeIfAbsent(connection, key -> new ModelConnection());
            switch (step / 6 % 5) {
                case 0 -> {
                    policy.onClosed(connection);
                    policy.onOpened(connection, nowMs);
                    current = new ModelConnection();
                    model.put(connection, current);
                    current.isSilent = true;
                    current.idleSinceMs = nowMs;
                }
                case 1 -> {
                    policy.onBytesRead(connection, nowMs);
                    current.firstByteMs = current.isReading ? current.firstByteMs : nowMs;
                    current.isReading = true;
                    current.isSilent = false;
                }
                case 2 -> {
                    policy.onRequestReceived(connection);
                    current.isReading = false;
                    current.isSilent = false;
                    current.pendingResponses++;
                }
                case 3 -> {
                    boolean isValid = step % 4 != 0;
                    policy.onResponseSent(connection, nowMs, isValid);
                    current.isServed |= isValid && current.pendingResponses > 0;
                    current.idleSinceMs = current.pendingResponses > 0 ? nowMs : current.idleSinceMs;
                    current.pendingResponses = Math.max(0, current.pendingResponses - 1);
                }
                default -> {
                    double evictedMs = nowMs;
                    Integer evicted = policy.nextToEvict(nowMs);
                    if (evicted != null) {
                        assertTrue(model.get(evicted).mayBeEvicted(evictedMs), "evicted within its grace period");
                        assertTrue(
                                model.get(evicted).isSilent
                                        || model.values().stream()
                                                .noneMatch(other -> other.isSilent && other.mayBeEvicted(evictedMs)),
                                "expected a connection without bytes to be evicted first");
                        policy.onClosed(evicted);
                        model.remove(evicted);
                    }
                }
            }
        }
    }

    /** 500 clients connect that send nothing or a partial request, while 20 active clients are idle. */
    @Property(seed = "2", tries = 50)
    void burstOfConnectionsEvictsNoActiveClient(
            @ForAll boolean isRequestPartial, @ForAll @IntRange(min = 24, max = 100) int limit) {
        int maxConnections = isRequestPartial ? Math.max(limit, 41) : limit;
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
            while (open >= maxConnections) {
                nowMs += 1;
                Integer evicted = policy.nextToEvict(nowMs);
                if (evicted != null) {
                    assertFalse(evicted < 20, "an active client was evicted");
                    policy.onClosed(evicted);
                    open--;
                }
            }
            policy.onOpened(burst, nowMs);
            if (isRequestPartial) {
                policy.onBytesRead(burst, nowMs);
            }
            open++;
        }
        // All connections of the burst that are open at the same time share one grace period.
        double latestMs = 1_000 + (1 + 500 / (maxConnections - 20)) * (isRequestPartial ? 501 : 6);
        assertTrue(nowMs <= latestMs, "expected the last accept by " + latestMs + " ms, was at " + nowMs);
        for (int i = 20 - maxConnections; i < 20; i++) {
            Integer evicted = policy.nextToEvict(nowMs + 1_000);
            assertTrue(
                    i < 0 ? evicted >= 20 : evicted == i,
                    "expected eviction of the burst first, then of the longest idle");
        }
        assertNull(policy.nextToEvict(nowMs + 1_000));
    }

    /** A client that pauses between its first two requests lost its connection to a burst of new ones. */
    @Example
    void servedClientsStayWhileConnectionWithoutBytesIsInItsGracePeriod() {
        ConnectionEvictionPolicy<Integer> policy = new ConnectionEvictionPolicy<>();
        for (int servedRequests = 1; servedRequests <= 2; servedRequests++) {
            policy.onOpened(servedRequests, 0);
            for (int request = 0; request < servedRequests; request++) {
                policy.onRequestReceived(servedRequests);
                policy.onResponseSent(servedRequests, 0, true);
            }
        }
        policy.onOpened(0, 1_000);
        assertNull(policy.nextToEvict(1_004));
        assertEquals(0, policy.nextToEvict(1_006));
        assertEquals(1, policy.nextToEvict(1_006));
    }

    /** In recorded traffic, clients that opened a connection for each request and kept it ran out of connections. */
    @Property(seed = "3", tries = 20)
    void closesSingleRequestConnectionsOverLimit(@ForAll @IntRange(min = 1, max = 50) int maxConnections) {
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
            for (Integer surplus = policy.nextSurplus(nowMs, maxConnections);
                    surplus != null;
                    surplus = policy.nextSurplus(nowMs, maxConnections)) {
                assertTrue(
                        surplus >= 0 && surplus < client,
                        "expected recurring connections and recent responses to stay");
                policy.onClosed(surplus);
                open--;
            }
            assertTrue(
                    open <= maxConnections + 1,
                    "expected at most " + (maxConnections + 1) + " connections, was " + open);
        }
    }
}
