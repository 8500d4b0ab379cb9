package peppergauge.lab.soak;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Record of everything that happened in a run. Times are by {@link System#nanoTime}. Thread-safe, except where noted.
 */
public final class RunRecord {

    /** Outcome of a request: the connection was closed before a response. */
    static final String CLOSED = "closed";
    /** Outcome of a request: the connection was closed within a response. */
    static final String PARTIAL = "a response that broke off";
    /** Outcome of a request: the client timed out. */
    static final String GAVE_UP = "gave up";

    /**
     * A request of a client. Fields that are not volatile are written by the client's thread and read after its end.
     */
    static final class ClientRequest {

        final String id;
        final boolean unsafe;
        final double remainingMs;
        /** Whether it was the first request of its connection. */
        final boolean first;
        /** How long the connection was idle before the request. */
        final double idleBeforeMs;
        /** The preceding request of its connection, whose response must come first; null: none. */
        ClientRequest predecessor;
        /** When the last byte was written. */
        volatile long sentNs;
        /** The response's status or one of the constants above; null while the client waits. */
        volatile String end;

        volatile long endNs;
        /** When the client closed the connection before a response; 0: it did not. */
        volatile long disconnectedNs;

        ClientRequest(String id, boolean unsafe, double remainingMs, boolean first, double idleBeforeMs) {
            this.id = id;
            this.unsafe = unsafe;
            this.remainingMs = remainingMs;
            this.first = first;
            this.idleBeforeMs = idleBeforeMs;
        }

        /** Returns the time by which a response can be expected; responses come in the order of the requests. */
        long responseDueNs() {
            long ownNs = sentNs + (long) (remainingMs * 1e6);
            return predecessor == null ? ownNs : Math.max(ownNs, predecessor.responseDueNs());
        }

        void ended(String how) {
            endNs = System.nanoTime();
            end = how;
        }
    }

    /** An attempt as seen by a server. */
    static final class Attempt {

        final String id;
        final String server;
        final double announcedRemainingMs;
        final long firstByteNs;
        /** When the last byte was received and processing began; 0: it was not. */
        volatile long processingStartNs;
        /** When it was answered, or the connection was found closed; 0: neither. */
        volatile long finishedNs;
        /** Whether a response without a length was written completely. */
        volatile boolean withoutLength;

        volatile boolean rejected;

        Attempt(String id, String server, double announcedRemainingMs, long firstByteNs) {
            this.id = id;
            this.server = server;
            this.announcedRemainingMs = announcedRemainingMs;
            this.firstByteNs = firstByteNs;
        }
    }

    /** A client that stopped in the middle of a request. */
    static final class PartialRequest {

        volatile long lastByteNs;
        /** When it got a response or its connection was closed; 0: neither. */
        volatile long endedNs;
    }

    /**
     * A server that drains.
     *
     * @param effectiveNs time from which the sidecar counts as notified
     */
    record DrainingServer(String server, long effectiveNs) {}

    /** Delay of a sleeping thread or of the sidecar by the machine, in total between two times. */
    record MachineDelay(long fromNs, long untilNs, double ms) {}

    /** Period in which idle clients filled the connection limit. */
    record ConnectionLimitPeriod(long fromNs, long untilNs) {}

    /** Resources of the process at one time. */
    record ResourceSample(long atNs, int descriptors, long rssKb) {}

    final Map<String, ClientRequest> requests = new ConcurrentHashMap<>();
    final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    final Queue<PartialRequest> partialRequests = new ConcurrentLinkedQueue<>();
    final Queue<DrainingServer> drainingServers = new ConcurrentLinkedQueue<>();
    final Queue<MachineDelay> machineDelays = new ConcurrentLinkedQueue<>();
    final Queue<ConnectionLimitPeriod> connectionLimitPeriods = new ConcurrentLinkedQueue<>();
    final Queue<ResourceSample> resourceSamples = new ConcurrentLinkedQueue<>();
    final CallFailures callFailures = new CallFailures();
    /** Times at which connections of clients ended. */
    final Queue<Long> clientEndsNs = new ConcurrentLinkedQueue<>();

    volatile long startedNs;
    volatile long readyNs;
    volatile long terminatedNs;
    volatile long endedNs;
    volatile boolean killed;
    /** Time from SIGTERM to the end of a run that got SIGTERM during startup, in ms; 0: there was none. */
    volatile double terminatedStartupMs;

    volatile String log = "";

    Collection<ClientRequest> allRequests() {
        return requests.values();
    }

    List<Attempt> attemptsOf(String id) {
        return attempts.stream().filter(attempt -> attempt.id.equals(id)).toList();
    }

    /** Returns how long the machine delayed the stand-ins or the sidecar between two times, in ms. */
    double machineDelayMs(long fromNs, long untilNs) {
        return machineDelays.stream()
                .filter(delay -> delay.untilNs() >= fromNs && delay.fromNs() <= untilNs)
                .mapToDouble(MachineDelay::ms)
                .sum();
    }
}
