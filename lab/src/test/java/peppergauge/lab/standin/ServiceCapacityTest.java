package peppergauge.lab.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import peppergauge.ScriptedServer;
import peppergauge.lab.wire.EventLoopTestBase;

/** Tests a list service with a finite capacity, on sockets. */
public class ServiceCapacityTest extends EventLoopTestBase {

    private static final long MS = 1_000_000;

    private final AtomicInteger givenUp = new AtomicInteger();

    /** Makes calls in a row; returns the first byte, or -1 for the end, that each of the last ones received. */
    private List<Integer> firstBytes(ServiceCapacity capacity, int callers, int heard) throws IOException {
        givenUp.set(0);
        capacity.onCallDropped(givenUp::incrementAndGet);
        DiscoveryStandIn discovery = callOnLoop(() -> new DiscoveryStandIn(loop, List.of(), capacity, 1));
        List<Socket> sockets = new ArrayList<>();
        List<Integer> first = new ArrayList<>();
        try {
            for (int i = 0; i < callers; i++) {
                Socket socket = new Socket();
                sockets.add(socket);
                socket.connect(discovery.address());
                socket.setSoTimeout(20_000);
                ScriptedServer.write(socket, "GET /discovery/hosts HTTP/1.1\r\n\r\n");
            }
            for (int i = callers - heard; i < callers; i++) {
                first.add(sockets.get(i).getInputStream().read());
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        return first;
    }

    @Test
    public void answersQueuedCallsWithinCapacity() throws IOException {
        long startNs = System.nanoTime();
        assertEquals(
                firstBytes(new ServiceCapacity(loop, 2, 20 * MS, 20_000 * MS, 1), 10, 10),
                Collections.nCopies(10, (int) 'H'));
        assertTrue(
                System.nanoTime() - startNs >= 5 * 20 * MS,
                "expected at least 100 ms for ten calls, two at once, 20 ms each");
        assertEquals(givenUp.get(), 0);
    }

    /** Timers run in order, however late, so the second call is dropped before the first completes. */
    @Test
    public void doesNotAnswerDroppedCall() {
        CompletableFuture<Void> later = new CompletableFuture<>();
        ServiceCapacity capacity = new ServiceCapacity(loop, 1, 200 * MS, 50 * MS, 1);
        List<String> told = Collections.synchronizedList(new ArrayList<>());
        loop.post(() -> {
            for (String name : List.of("a", "b")) {
                capacity.wait(() -> told.add(name + " answered"), () -> told.add(name + " given up"));
            }
            loop.at(System.nanoTime() + 600 * MS, () -> later.complete(null));
        });
        later.join();
        assertEquals(told, List.of("b given up", "a answered"));
    }

    /** The share applies to executed calls; the seed is fixed. */
    @Test
    public void leavesShareOfExecutedCallsUnanswered() {
        ServiceCapacity capacity = new ServiceCapacity(loop, 10, MS / 100, 20_000 * MS, 0.25);
        AtomicInteger answered = new AtomicInteger();
        CompletableFuture<Integer> all = new CompletableFuture<>();
        loop.post(() -> {
            for (int i = 0; i < 400; i++) {
                capacity.wait(answered::incrementAndGet, () -> all.complete(-1));
            }
            // Timers run in order: each call takes less than this wait, however late all timers are.
            loop.at(System.nanoTime() + 10_000 * MS, () -> all.complete(answered.get()));
        });
        assertEquals(all.join(), 100, 25);
    }

    @Test
    public void dropsCallsAfterQueueTimeout() throws IOException {
        assertEquals(firstBytes(new ServiceCapacity(loop, 1, 60_000 * MS, 100 * MS, 1), 4, 3), List.of(-1, -1, -1));
        assertEquals(givenUp.get(), 3);
    }
}
