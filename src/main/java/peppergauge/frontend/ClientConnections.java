package peppergauge.frontend;

import java.util.HashMap;
import java.util.Map;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;
import peppergauge.session.Sessions;

/**
 * All clients' connections, as the reactor reports them. HttpCore tells an exchange nothing of its client's
 * leaving: at the end of its stream the connection only stops being open, which is looked for here.
 */
final class ClientConnections implements IOSessionListener {

    /** Connections past the cap that are still taken, so that their clients hear a denial. */
    private static final int CROWD = 32;

    private final Sessions sessions;
    private final int most;
    private final Map<String, ClientConnection> byId = new HashMap<>();
    /** Set once this side closes connections: one that is no longer open then tells nothing of its client. */
    private volatile boolean windingDown;
    /** The connection whose input is being handled; there is one I/O thread, on which all of this runs. */
    private ClientConnection current;

    ClientConnections(Sessions sessions, int most) {
        this.sessions = sessions;
        this.most = most;
    }

    void windDown() {
        windingDown = true;
    }

    ClientConnection current() {
        return current;
    }

    @Override
    public void connected(IOSession session) {
        if (byId.size() >= most) {
            // One descriptor more than allowed, and accepting itself would fail and end the reactor.
            Log.line("crowded", "a connection past " + most + " was closed");
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        byId.put(session.getId(), new ClientConnection(session, sessions, byId.size() >= most - CROWD));
    }

    @Override
    public void inputReady(IOSession session) {
        current = byId.get(session.getId());
        if (current != null) {
            current.reading();
        }
    }

    @Override
    public void outputReady(IOSession session) {
        ClientConnection connection = byId.get(session.getId());
        boolean open = !(session.getHandler() instanceof HttpConnection http) || http.isOpen();
        if (connection != null && !open && !windingDown) {
            connection.gone();
        }
    }

    @Override
    public void disconnected(IOSession session) {
        ClientConnection connection = byId.remove(session.getId());
        if (connection != null) {
            connection.gone();
        }
    }

    @Override
    public void timeout(IOSession session) {
        // The connection was idle for too long; HttpCore closes it.
    }

    @Override
    public void startTls(IOSession session) {
        // Plain TCP only.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // A broken connection is an ordinary end; disconnected follows.
    }
}
