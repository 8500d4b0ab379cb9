package peppergauge.discovery;

import java.net.InetSocketAddress;
import java.util.function.Supplier;
import peppergauge.coldstart.PollPolicy;
import peppergauge.request.EndpointUpdate;
import peppergauge.sockets.EventLoop;

/**
 * Watches discovery for endpoint updates, and retries from the last known version when the watch is lost.
 *
 * <p>{@link #start}, {@link #moveTo} and {@link #close} may be called from any thread; the listener is notified on the
 * event loop's thread.
 */
public final class EndpointWatch {

    /** Is notified of the events of a watch, on the event loop's thread. */
    public interface Listener {

        /** An update was received from discovery. */
        void onEndpointUpdate(EndpointUpdate update);

        /** The watch was lost and will be retried. */
        void onWatchLost();

        /** An update or a heartbeat was received; called after {@link #onEndpointUpdate}. */
        default void onWatchAlive() {}
    }

    private final EndpointUpdateReader reader;
    private final Listener listener;
    private final EventLoop loop;
    private final Supplier<PollPolicy> pollPolicies;
    private volatile AddressWatch currentWatch;
    private boolean isStarted;
    private volatile boolean isClosed;

    /**
     * @param version version of the known endpoint list; later changes are requested
     * @param pollPolicies supplies one policy for each discovery address
     */
    public EndpointWatch(
            InetSocketAddress discovery,
            EndpointUpdateReader reader,
            long version,
            Listener listener,
            EventLoop loop,
            Supplier<PollPolicy> pollPolicies) {
        this.pollPolicies = pollPolicies;
        this.reader = reader;
        this.listener = listener;
        this.loop = loop;
        this.currentWatch = createWatch(discovery, version, null);
    }

    private AddressWatch createWatch(InetSocketAddress discovery, long version, AddressWatch previous) {
        return new AddressWatch(
                discovery,
                version,
                previous,
                reader,
                listener,
                loop,
                pollPolicies.get(),
                watch -> watch == currentWatch && !isClosed);
    }

    /** Starts the watch. */
    public synchronized void start() {
        isStarted = true;
        loop.execute(currentWatch::start);
    }

    /** Watches another discovery address. The previous watch stays active until the new one delivers an update. */
    public synchronized void moveTo(InetSocketAddress discovery) {
        // Versions of different discovery services are not comparable: request the complete list.
        currentWatch = createWatch(discovery, 0, currentWatch);
        if (isStarted) {
            loop.execute(currentWatch::start);
        }
    }

    /** Closes the watch: no further call is started. */
    public void close() {
        isClosed = true;
    }
}
