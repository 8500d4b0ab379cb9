package peppergauge.discovery;

import java.net.InetSocketAddress;
import java.util.function.Supplier;
import peppergauge.coldstart.PollPolicy;
import peppergauge.request.EndpointUpdate;
import peppergauge.sockets.EventLoop;

/** Watches discovery: hands on each change, and asks again from the last version when the watch is lost. */
public final class EndpointWatch {

    /** Where the news goes; told on the loop's thread. */
    public interface Listener {

        void listed(EndpointUpdate table);

        void lost();

        /** Discovery has said something, if only that nothing has changed; after {@link #listed} of what it told. */
        default void heard() {}
    }

    private final EndpointUpdateReader reader;
    private final Listener listener;
    private final EventLoop loop;
    private final Supplier<PollPolicy> paces;
    private volatile DiscoverySource source;
    private boolean started;
    private volatile boolean closed;

    /**
     * @param version of the table that is known already; changes after it are asked for
     * @param paces of the calls to one address; asked again where discovery moves
     */
    public EndpointWatch(
            InetSocketAddress discovery,
            EndpointUpdateReader reader,
            long version,
            Listener listener,
            EventLoop loop,
            Supplier<PollPolicy> paces) {
        this.paces = paces;
        this.reader = reader;
        this.listener = listener;
        this.loop = loop;
        this.source = source(discovery, version, null);
    }

    private DiscoverySource source(InetSocketAddress discovery, long version, DiscoverySource before) {
        return new DiscoverySource(
                discovery, version, before, reader, listener, loop, paces.get(), asked -> asked == source && !closed);
    }

    public synchronized void start() {
        started = true;
        loop.execute(source::start);
    }

    /** From now on asks there; the watch before this one is listened to until the new one tells something. */
    public synchronized void moveTo(InetSocketAddress discovery) {
        // Another discovery may count versions of its own: it is asked for all that it has.
        source = source(discovery, 0, source);
        if (started) {
            loop.execute(source::start);
        }
    }

    public void close() {
        closed = true;
    }
}
