package peppergauge.thrift.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import peppergauge.log.Log;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.RequestHandler;
import peppergauge.request.Scheduler;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;
import peppergauge.thrift.method.Methods;
import peppergauge.thrift.wire.Bounds;
import peppergauge.thrift.wire.Form;
import peppergauge.thrift.wire.MessageReader;

/** Where Thrift's clients connect: turns their calls into sessions and sessions' answers into replies. */
public final class ThriftFrontend {

    private static final int READ_AT_ONCE = 8 * 1024;

    private final Form form;
    private final Bounds bounds;
    private final Methods methods;
    private final RequestHandler intake;
    private final Clock clock;
    private final EventLoop loop;
    private final OverloadController<EvictableConnection, ?> overload;
    private final ClientConnections clients;
    /** One for all connections: only the loop's thread reads. */
    private final ByteBuffer input = ByteBuffer.allocate(READ_AT_ONCE);

    private final AtomicLong lostOneways = new AtomicLong();
    private final String run = Long.toHexString(System.nanoTime());
    private long ids;
    private volatile ListenerEndpoint listener;
    private volatile boolean closing;

    /**
     * @param form of all connections; null if each one's is recognised from its first bytes
     * @param bounds of what clients send
     */
    public ThriftFrontend(
            Form form,
            Bounds bounds,
            Methods methods,
            RequestHandler intake,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, ?> overload,
            ClientConnections clients) {
        this.form = form;
        this.bounds = bounds;
        this.methods = methods;
        this.intake = intake;
        this.clock = clock;
        this.loop = loop;
        this.overload = overload;
        this.clients = clients;
    }

    /**
     * Listens on this address only, and no other.
     *
     * @throws IOException if it is not to be had
     */
    public void start(InetSocketAddress address) throws IOException, InterruptedException {
        listener = loop.listen(address, up -> new ThriftClientConnection(up, this, clients));
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getAddress();
    }

    /** Nothing new is accepted from now on, and each connection closes once nothing is owed on it. */
    public void stop() {
        closing = true;
        try {
            if (listener != null) {
                listener.close();
            }
        } catch (IOException failed) {
            Log.line("stop", "Thrift's listener did not close: " + failed.getMessage());
        }
    }

    /** Oneway calls that no server got, as far as that is known, since the start; each has a line in the log. */
    public long lostOneways() {
        return lostOneways.get();
    }

    void lostOneway(String method, String why) {
        lostOneways.incrementAndGet();
        Log.line("oneway", "a call of " + method + " that nobody waits for was lost: " + why);
    }

    MessageReader reader() {
        return new MessageReader(form, bounds);
    }

    ByteBuffer input() {
        return input;
    }

    Methods methods() {
        return methods;
    }

    RequestHandler intake() {
        return intake;
    }

    /** For a call that has none; no other of this or an earlier run is the same. */
    String newId() {
        return "thrift-" + run + "-" + ids++;
    }

    /** When what is being read came in at the earliest, ms: what stood unread for lack of CPU came long ago. */
    double arrivedMs() {
        return Math.min(clock.nowMs(), overload.earliestArrivalMs());
    }

    Scheduler scheduler() {
        return loop;
    }

    boolean closing() {
        return closing;
    }
}
