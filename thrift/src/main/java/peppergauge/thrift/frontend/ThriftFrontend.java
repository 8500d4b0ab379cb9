package peppergauge.thrift.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.RequestHandler;
import peppergauge.request.Scheduler;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;
import peppergauge.thrift.method.MethodRegistry;
import peppergauge.thrift.wire.MessageLimits;
import peppergauge.thrift.wire.MessageReader;
import peppergauge.thrift.wire.WireFormat;

/** Listens for Thrift clients, dispatches their calls as requests and sends the responses as replies. */
public final class ThriftFrontend {

    static final int READ_BUFFER_BYTES = 8 * 1024;

    private final WireFormat format;
    private final MessageLimits limits;
    private final MethodRegistry methods;
    private final RequestHandler requestHandler;
    private final Clock clock;
    private final EventLoop loop;
    private final OverloadController<EvictableConnection, ?> overload;
    private final ClientConnections clients;
    private final MessageMemory messageMemory;
    /** Shared by all connections, since only the event-loop thread reads. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    private final AtomicLong lostOnewayCalls = new AtomicLong();
    /** Distinguishes the request ids of this process from those of earlier ones. */
    private final String processId = Long.toHexString(System.nanoTime());

    private long nextRequestNumber;
    private volatile ListenerEndpoint listener;
    private volatile boolean isClosing;

    /**
     * @param format of all connections; null to detect it from the first bytes of each connection
     * @param limits of the calls
     * @param messageMemory limits the memory of calls and replies
     */
    public ThriftFrontend(
            WireFormat format,
            MessageLimits limits,
            MethodRegistry methods,
            RequestHandler requestHandler,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, ?> overload,
            ClientConnections clients,
            MessageMemory messageMemory) {
        this.format = format;
        this.limits = limits;
        this.methods = methods;
        this.requestHandler = requestHandler;
        this.clock = clock;
        this.loop = loop;
        this.overload = overload;
        this.clients = clients;
        this.messageMemory = messageMemory;
    }

    /**
     * Listens on this address.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException, InterruptedException {
        listener = loop.listen(address, connection -> new ThriftClientConnection(connection, this, clients));
    }

    /** The address of the listener, which has to be started. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getAddress();
    }

    /** Stops accepting connections; each open one closes once all its replies are written. */
    public void stop() {
        isClosing = true;
        try {
            if (listener != null) {
                listener.close();
            }
        } catch (IOException failed) {
            Log.event("thrift_listener_close_failed", "error", failed.getMessage());
        }
    }

    /** The number of oneway calls since the start that, as far as known, no server received. Thread-safe. */
    public long lostOnewayCalls() {
        return lostOnewayCalls.get();
    }

    /** A oneway call failed; as it has no reply, only the count and the log show it. */
    void onOnewayCallLost(String methodName, String reason) {
        lostOnewayCalls.incrementAndGet();
        Log.event("thrift_oneway_lost", "method", methodName, "reason", reason);
    }

    MessageReader newMessageReader() {
        return new MessageReader(format, limits);
    }

    MessageMemory messageMemory() {
        return messageMemory;
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    MethodRegistry methods() {
        return methods;
    }

    RequestHandler requestHandler() {
        return requestHandler;
    }

    /** Returns an id for a call that contains none; unique in this process, and most probably across restarts. */
    String newRequestId() {
        return "thrift-" + processId + "-" + nextRequestNumber++;
    }

    /**
     * The earliest time in ms at which the bytes that are read now can have arrived; under CPU shortage they may have
     * been unread for long.
     */
    double arrivedMs() {
        return Math.min(clock.nowMs(), overload.earliestArrivalMs());
    }

    Scheduler scheduler() {
        return loop;
    }

    boolean isClosing() {
        return isClosing;
    }
}
