package peppergauge.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.URIScheme;
import peppergauge.coldstart.PollPolicy;
import peppergauge.log.Log;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.Scheduler;
import peppergauge.settings.JsonTree;
import peppergauge.sockets.EventLoop;

/**
 * Watch of one discovery address: schedules its calls and processes the updates that they deliver.
 *
 * <p>A call that has timed out may stay open as a hedged call beside the next one. The first call that delivers an
 * update or a heartbeat becomes the watch, and the others are closed. Confined to the event loop's thread.
 */
final class AddressWatch implements WatchCall.Listener {

    private enum State {
        /** The next call is scheduled. */
        BACKOFF,
        /** The newest call has no response yet, and its response timeout is running. */
        AWAITING_RESPONSE,
        /** A response has started; the connection's idle timeout applies. */
        STREAMING,
        /** Another watch has replaced this one; no further call is started. */
        STOPPED
    }

    /** Value of {@link #malformedAfterVersion} if no update was malformed. */
    private static final long NO_VERSION = -1;

    private final HttpHost discovery;
    private final EndpointUpdateReader reader;
    private final EndpointWatch.Listener listener;
    private final EventLoop loop;
    private final PollPolicy pollPolicy;
    private final Predicate<AddressWatch> isCurrent;
    /** Open calls, oldest first. */
    private final List<WatchCall> calls = new ArrayList<>();

    private State state = State.BACKOFF;
    /** The newest call in state {@link State#AWAITING_RESPONSE}; else null. */
    private WatchCall awaitedCall;
    /** Delay before the next call, or response timeout of the awaited one; else null. */
    private Scheduler.ScheduledTask timer;

    private long version;
    /** Version after which a malformed update was requested again. */
    private long malformedAfterVersion = NO_VERSION;
    /** The watch that this one replaces; null once this one has delivered an update. */
    private AddressWatch previous;

    /**
     * @param version version of the known endpoint list; later changes are requested
     * @param previous the watch that this one replaces, or null
     * @param isCurrent whether a watch may start calls; other watches only receive updates
     */
    AddressWatch(
            InetSocketAddress discovery,
            long version,
            AddressWatch previous,
            EndpointUpdateReader reader,
            EndpointWatch.Listener listener,
            EventLoop loop,
            PollPolicy pollPolicy,
            Predicate<AddressWatch> isCurrent) {
        this.discovery = new HttpHost(URIScheme.HTTP.id, discovery.getHostString(), discovery.getPort());
        this.version = version;
        this.previous = previous;
        this.reader = reader;
        this.listener = listener;
        this.loop = loop;
        this.pollPolicy = pollPolicy;
        this.isCurrent = isCurrent;
    }

    // ---- Scheduling of calls ----

    void start() {
        double delayMs = pollPolicy.initialDelayMs();
        if (delayMs > 0) {
            scheduleCall(delayMs);
        } else {
            startCall();
        }
    }

    private void scheduleCall(double delayMs) {
        state = State.BACKOFF;
        timer = loop.schedule(delayMs, this::startCall);
    }

    private void startCall() {
        timer = null;
        if (!isCurrent.test(this)) {
            state = State.STOPPED;
            return;
        }
        if (calls.size() > pollPolicy.maxHedgedCalls()) {
            // Keep the oldest call: a service with a queue responds to it first.
            abandon(calls.get(calls.size() > 1 ? 1 : 0));
        }
        double timeoutMs = pollPolicy.responseTimeoutMs();
        WatchCall call = new WatchCall(discovery, version, this);
        calls.add(call);
        awaitedCall = call;
        state = State.AWAITING_RESPONSE;
        timer = loop.schedule(timeoutMs, () -> onResponseTimeout(call, timeoutMs));
        call.connect(loop, timeoutMs + pollPolicy.hedgedCallTimeoutMs());
    }

    private void onResponseTimeout(WatchCall call, double timeoutMs) {
        timer = null;
        awaitedCall = null;
        if (!isCurrent.test(this)) {
            state = State.STOPPED;
            return;
        }
        if (pollPolicy.maxHedgedCalls() == 0) {
            abandon(call);
        }
        retry("no response within " + (long) timeoutMs + " ms", true);
    }

    private void abandon(WatchCall call) {
        calls.remove(call);
        call.close();
    }

    private void retry(String error, boolean isTimeout) {
        double delayMs = isTimeout ? pollPolicy.delayAfterTimeoutMs() : pollPolicy.delayAfterFailureMs();
        Log.event("endpoint_watch_lost", "version", version, "retry_in_ms", (long) delayMs, "error", error);
        listener.onWatchLost();
        scheduleCall(delayMs);
    }

    private void cancelTimer() {
        awaitedCall = null;
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    // ---- Events of the calls ----

    @Override
    public double onResponseStarted(WatchCall call, double latencyMs) {
        pollPolicy.onResponseStarted(latencyMs);
        cancelTimer();
        state = State.STREAMING;
        return pollPolicy.idleTimeoutMs();
    }

    @Override
    public void onOverloaded() {
        pollPolicy.onOverloaded();
    }

    @Override
    public void onEnded(WatchCall call, String error, boolean isTimeout) {
        calls.remove(call);
        if (isCurrent.test(this) && calls.stream().noneMatch(WatchCall::isStreaming) && needsRetryAfter(call)) {
            cancelTimer();
            retry(error, isTimeout);
        }
    }

    private boolean needsRetryAfter(WatchCall ended) {
        return switch (state) {
            case AWAITING_RESPONSE -> ended == awaitedCall;
            case STREAMING -> true;
            case BACKOFF, STOPPED -> false;
        };
    }

    @Override
    public void onObject(WatchCall call, byte[] text) throws IOException {
        processUpdate(text);
        onAlive(call);
    }

    @Override
    public void onBlankLine(WatchCall call) {
        onAlive(call);
    }

    private void onAlive(WatchCall call) {
        for (WatchCall other : List.copyOf(calls)) {
            if (other != call) {
                abandon(other);
            }
        }
        pollPolicy.onSuccess();
        listener.onWatchAlive();
    }

    // ---- Updates ----

    /** @throws IOException if changes may be missing, so that a new call must be made */
    private void processUpdate(byte[] text) throws IOException {
        EndpointUpdate update;
        try {
            update = reader.read(JsonTree.parse(text, 0, text.length));
        } catch (IllegalArgumentException malformed) {
            if (malformedAfterVersion != version) {
                // Request the update once more: a later one would not contain its changes.
                malformedAfterVersion = version;
                throw new IOException("malformed: " + malformed.getMessage());
            }
            Log.event("endpoint_update_ignored", "version", version, "error", malformed.getMessage());
            return;
        }
        if (!update.complete() && update.version() < version) {
            // Discovery's version counter was reset: request the complete list.
            long knownVersion = version;
            version = 0;
            throw new IOException(
                    "changes have version " + update.version() + ", expected " + knownVersion + " or later");
        }
        version = update.version();
        stopPrevious();
        listener.onEndpointUpdate(update);
    }

    /** Stops replaced watches: their updates may be older than those of this watch. */
    private void stopPrevious() {
        for (AddressWatch replaced = previous; replaced != null; replaced = replaced.previous) {
            replaced.stop();
        }
        previous = null;
    }

    private void stop() {
        cancelTimer();
        state = State.STOPPED;
        List.copyOf(calls).forEach(this::abandon);
    }
}
