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

    private static final class Seen {

        private int sessions;
        private boolean silent, reading, served;
        private double sinceMs, firstByteMs;

        private boolean mayGo(double nowMs) {
            return sessions == 0
                    && nowMs - sinceMs > (silent ? 5 : 50)
                    && (!reading || !served && nowMs - firstByteMs > 500);
        }
    }

    /** Each number is what happens next, to which of six connections, and how much later. */
    @Property(seed = "1", tries = 1_000)
    void onlyWhoIsIdleIsNamedAndTheSilentFirst(
            @ForAll @Size(max = 120) List<@IntRange(max = 29_999) Integer> happenings) {
        ConnectionEvictionPolicy<Integer> claims = new ConnectionEvictionPolicy<>();
        Map<Integer, Seen> seen = new HashMap<>();
        double nowMs = 0;
        for (int happening : happenings) {
            int connection = happening % 6;
            nowMs += happening / 30 % 200;
            Seen one = seen.computeIfAbsent(connection, fresh -> new Seen());
            switch (happening / 6 % 5) {
                case 0 -> {
                    claims.onClosed(connection);
                    claims.onOpened(connection, nowMs);
                    seen.put(connection, one = new Seen());
                    one.silent = true;
                    one.sinceMs = nowMs;
                }
                case 1 -> {
                    claims.onBytesRead(connection, nowMs);
                    one.firstByteMs = one.reading ? one.firstByteMs : nowMs;
                    one.reading = true;
                    one.silent = false;
                }
                case 2 -> {
                    claims.onRequestReceived(connection);
                    one.reading = one.silent = false;
                    one.sessions++;
                }
                case 3 -> {
                    boolean session = happening % 4 != 0;
                    claims.onResponseSent(connection, nowMs, session);
                    one.served |= session && one.sessions > 0;
                    one.sinceMs = one.sessions > 0 ? nowMs : one.sinceMs;
                    one.sessions = Math.max(0, one.sessions - 1);
                }
                default -> {
                    double at = nowMs;
                    Integer named = claims.nextToEvict(nowMs);
                    if (named != null) {
                        assertTrue(seen.get(named).mayGo(at), "named without leave");
                        assertTrue(
                                seen.get(named).silent
                                        || seen.values().stream().noneMatch(other -> other.silent && other.mayGo(at)),
                                "a silent one has less of a claim");
                        claims.onClosed(named);
                        seen.remove(named);
                    }
                }
            }
        }
    }

    /** 500 clients that say nothing, or send half a request, come while 20 usual ones pause. */
    @Property(seed = "2", tries = 50)
    void aCrowdDrivesOutItselfAndNoUsualClient(
            @ForAll boolean halfARequest, @ForAll @IntRange(min = 24, max = 100) int places) {
        int room = halfARequest ? Math.max(places, 41) : places;
        ConnectionEvictionPolicy<Integer> claims = new ConnectionEvictionPolicy<>();
        int open = 20;
        for (int usual = 0; usual < 20; usual++) {
            claims.onOpened(usual, 0);
            for (int asked = 0; asked < 2; asked++) {
                claims.onRequestReceived(usual);
                claims.onResponseSent(usual, 2 + usual, true);
            }
        }
        double nowMs = 500;
        for (int rude = 20; rude < 520; rude++) {
            while (open >= room) {
                nowMs += 1;
                Integer named = claims.nextToEvict(nowMs);
                if (named != null) {
                    assertFalse(named < 20, "a usual client was driven out");
                    claims.onClosed(named);
                    open--;
                }
            }
            claims.onOpened(rude, nowMs);
            if (halfARequest) {
                claims.onBytesRead(rude, nowMs);
            }
            open++;
        }
        // A whole room of them waits for one grace.
        double mostMs = 1_000 + (1 + 500 / (room - 20)) * (halfARequest ? 501 : 6);
        assertTrue(nowMs <= mostMs, "the last was accepted at " + nowMs);
        for (int i = 20 - room; i < 20; i++) {
            Integer named = claims.nextToEvict(nowMs + 1_000);
            assertTrue(i < 0 ? named >= 20 : named == i, "the rude first, then the longest idle");
        }
        assertNull(claims.nextToEvict(nowMs + 1_000));
    }

    /** On a recorded day each request came on a connection of its own that stayed: clients ran out of theirs. */
    @Property(seed = "3", tries = 20)
    void whoAskedOnceAndStaysHoldsNoMoreThanItsShare(@ForAll @IntRange(min = 1, max = 50) int most) {
        ConnectionEvictionPolicy<Integer> claims = new ConnectionEvictionPolicy<>();
        claims.onOpened(-1, 0);
        for (int asked = 0; asked < 2; asked++) {
            claims.onRequestReceived(-1);
            claims.onResponseSent(-1, 0, true);
        }
        int open = 0;
        for (int client = 0; client < 200; client++) {
            double nowMs = client * 150.0;
            claims.onOpened(client, nowMs);
            claims.onRequestReceived(client);
            claims.onResponseSent(client, nowMs, true);
            open++;
            for (Integer spare = claims.nextSurplus(nowMs, most);
                    spare != null;
                    spare = claims.nextSurplus(nowMs, most)) {
                assertTrue(spare >= 0 && spare < client, "who came back, or was answered just now, stays");
                claims.onClosed(spare);
                open--;
            }
            assertTrue(open <= most + 1, open + " are kept");
        }
    }
}
