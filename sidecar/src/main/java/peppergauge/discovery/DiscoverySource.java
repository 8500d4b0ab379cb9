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
 * One address of discovery: the calls to it, when the next one is made, and what they tell. All of it runs on the
 * loop's thread.
 *
 * <p>A call that is not answered in time may yet be, so it stays open beside the next one, and the first to tell
 * something is the watch; the others are closed then ({@link peppergauge.coldstart.LocalAgentPollPolicy} says why).
 */
final class DiscoverySource implements DiscoveryCall.Listener {

    /** No thing was malformed yet. */
    private static final long NOTHING_SPOILT = -1;

    private final HttpHost discovery;
    private final EndpointUpdateReader reader;
    private final EndpointWatch.Listener listener;
    private final EventLoop loop;
    private final PollPolicy pace;
    private final Predicate<DiscoverySource> present;
    /** Those that have not ended, oldest first. */
    private final List<DiscoveryCall> calls = new ArrayList<>();
    /** The call whose answer is still in time; null while none is. */
    private DiscoveryCall awaited;
    /** Until the awaited call counts as unanswered, or until the next one; null where an answer has begun. */
    private Scheduler.ScheduledTask wait;

    private long version;
    /** A thing was malformed after this version, and asked for again. */
    private long spoiltAfter = NOTHING_SPOILT;
    /** The one before, until this one has told something. */
    private DiscoverySource before;

    /**
     * @param version of the table that is known from there; changes after it are asked for
     * @param before the address that was asked until now, or null
     * @param present whether a source is the one to be asked; another is only listened to
     */
    DiscoverySource(
            InetSocketAddress discovery,
            long version,
            DiscoverySource before,
            EndpointUpdateReader reader,
            EndpointWatch.Listener listener,
            EventLoop loop,
            PollPolicy pace,
            Predicate<DiscoverySource> present) {
        this.discovery = new HttpHost(URIScheme.HTTP.id, discovery.getHostString(), discovery.getPort());
        this.version = version;
        this.before = before;
        this.reader = reader;
        this.listener = listener;
        this.loop = loop;
        this.pace = pace;
        this.present = present;
    }

    // ---- When it is asked ----

    void start() {
        double pauseMs = pace.initialDelayMs();
        if (pauseMs > 0) {
            wait = loop.schedule(pauseMs, this::ask);
        } else {
            ask();
        }
    }

    private void ask() {
        wait = null;
        if (!present.test(this)) {
            return;
        }
        if (calls.size() > pace.maxHedgedCalls()) {
            // The oldest is the next in turn where calls wait in a queue.
            giveUp(calls.get(calls.size() > 1 ? 1 : 0));
        }
        double answerMs = pace.responseTimeoutMs();
        DiscoveryCall call = new DiscoveryCall(discovery, version, this);
        calls.add(call);
        awaited = call;
        wait = loop.schedule(answerMs, () -> unanswered(call, answerMs));
        call.connect(loop, answerMs + pace.hedgedCallTimeoutMs());
    }

    private void unanswered(DiscoveryCall call, double afterMs) {
        wait = null;
        awaited = null;
        if (!present.test(this)) {
            return;
        }
        if (pace.maxHedgedCalls() == 0) {
            giveUp(call);
        }
        askAgain("no answer within " + (long) afterMs + " ms", true);
    }

    private void giveUp(DiscoveryCall call) {
        calls.remove(call);
        call.close();
    }

    private void askAgain(String why, boolean silent) {
        double pauseMs = silent ? pace.delayAfterTimeoutMs() : pace.delayAfterFailureMs();
        Log.line(
                "server table",
                "watch lost at version " + version + ", asking again in " + (long) pauseMs + " ms: " + why);
        listener.lost();
        wait = loop.schedule(pauseMs, this::ask);
    }

    private void stopWaiting() {
        awaited = null;
        if (wait != null) {
            wait.cancel();
            wait = null;
        }
    }

    // ---- What becomes of the calls ----

    @Override
    public double begun(DiscoveryCall call, double afterMs) {
        pace.onResponseStarted(afterMs);
        stopWaiting();
        return pace.idleTimeoutMs();
    }

    @Override
    public void crowded() {
        pace.onOverloaded();
    }

    @Override
    public void ended(DiscoveryCall call, String why, boolean silent) {
        calls.remove(call);
        if (!present.test(this) || calls.stream().anyMatch(DiscoveryCall::hasBegun)) {
            // Another address is watched by now, or the program ends, or another call is the watch.
            return;
        }
        if (call == awaited || wait == null) {
            stopWaiting();
            askAgain(why, silent);
        }
    }

    @Override
    public void object(DiscoveryCall call, byte[] whole) throws IOException {
        take(whole);
        heard(call);
    }

    @Override
    public void blankLine(DiscoveryCall call) {
        heard(call);
    }

    private void heard(DiscoveryCall call) {
        for (DiscoveryCall other : List.copyOf(calls)) {
            if (other != call) {
                giveUp(other);
            }
        }
        pace.onSuccess();
        listener.heard();
    }

    // ---- What they tell ----

    /** Fails where something is missing by now: the watch is to be opened anew. */
    private void take(byte[] text) throws IOException {
        EndpointUpdate table;
        try {
            table = reader.read(JsonTree.parse(text, 0, text.length));
        } catch (IllegalArgumentException malformed) {
            if (spoiltAfter != version) {
                // Later news would hide for good what this should have told.
                spoiltAfter = version;
                throw new IOException("malformed: " + malformed.getMessage());
            }
            Log.line("server table", "a line passed over: " + malformed.getMessage());
            return;
        }
        if (!table.complete() && table.version() < version) {
            // Discovery counts anew: what it has told since then is not known, and all of it is asked for.
            version = 0;
            throw new IOException("changes up to version " + table.version() + ", which is older");
        }
        version = table.version();
        endTheOneBefore();
        listener.listed(table);
    }

    /** Its news may be older than what is told here from now on. */
    private void endTheOneBefore() {
        for (DiscoverySource former = before; former != null; former = former.before) {
            former.stopWaiting();
            List.copyOf(former.calls).forEach(former::giveUp);
        }
        before = null;
    }
}
