package peppergauge.frontend;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.testng.annotations.Test;
import peppergauge.memory.MessageMemory;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.PendingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;

public class WarmUpRequestsTest {

    /** A late warm-up request was sent to a backend server, with an id that no client had used. */
    @Test
    public void neverPassesWarmUpRequestsToTheHandlerOfClients() {
        Clock clock = new Clock();
        EventLoop loop = new EventLoop();
        OverloadController<EvictableConnection, PendingRequest> overload =
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, 1));
        RequestDispatcher clients = new RequestDispatcher(null, null, clock, loop, overload, List.of(), 100);
        RequestDispatcher warmUp = new RequestDispatcher(null, null, clock, loop, overload, List.of(), 100);
        HttpFrontend frontend = new HttpFrontend(
                null,
                clients,
                clock,
                loop,
                overload,
                new ClientConnections(loop, 8, clock, overload),
                LargeBodies.NONE,
                MessageMemory.ofHeap(0.25));
        BasicHttpRequest unmarked = new BasicHttpRequest("GET", "/list/k");
        BasicHttpRequest marked = new BasicHttpRequest("GET", "/list/k");
        marked.addHeader(HttpFrontend.WARM_UP_HEADER, "mark");
        assertSame(frontend.handlerFor(marked), clients);
        frontend.enableWarmUp(warmUp, "mark");
        assertSame(frontend.handlerFor(marked), warmUp);
        assertTrue(frontend.isWarmUpHandler(warmUp));
        assertSame(frontend.handlerFor(unmarked), clients);
        assertFalse(frontend.isWarmUpHandler(clients));
        frontend.setReady();
        assertNull(frontend.handlerFor(marked));
        assertSame(frontend.handlerFor(unmarked), clients);
        loop.close();
    }
}
