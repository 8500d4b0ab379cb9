package peppergauge.frontend;

import static org.testng.Assert.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.reactor.IOSession;
import org.testng.annotations.Test;
import peppergauge.session.Clock;
import peppergauge.session.Sessions;
import peppergauge.sockets.SocketRoom;

public class ClientConnectionTest {

    /** Closed from another thread, a connection could have a request read in that moment and never answered. */
    @Test
    public void forRoomAnIdleConnectionIsClosedByTheThreadThatReadsItAndNoOther() throws Exception {
        List<String> asked = new ArrayList<>();
        IOSession session = (IOSession) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {IOSession.class}, (proxy, method, arguments) -> {
                    if (!method.getName().equals("getId")) {
                        asked.add(method.getName() + " " + arguments[0]);
                    }
                    return "id";
                });
        Sessions sessions = new Sessions(null, null, new Clock(), 100);
        ClientConnections connections = new ClientConnections(sessions, new SocketRoom(1) {
            @Override
            public boolean take(long waitMs) {
                return !asked.isEmpty();
            }
        });
        connections.connected(session);
        Thread.sleep(60);
        connections.select(null);
        connections.select(null);
        sessions.close();
        assertEquals(asked, List.of("enqueue Shutdown: GRACEFUL"));
    }
}
