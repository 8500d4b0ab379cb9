package peppergauge.lab.soak;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Everything that happened in one run; all times by {@link System#nanoTime}. Any thread writes. */
public final class RunRecord {

    /** What a client sees as the end of a request. */
    static final String CLOSED = "closed";

    static final String PARTIAL = "an answer that broke off";
    static final String GAVE_UP = "gave up";

    /** A request of a client. What its client's thread writes is read when that has ended. */
    static final class ClientRequest {

        final String id;
        final boolean unsafe;
        final double remainingMs;
        /** The connection's first request, and how long nothing had been asked on it. */
        final boolean first;

        final double idleBeforeMs;
        /** A request before it on its connection, whose answer has to come first; null: none. */
        ClientRequest predecessor;
        /** Its last byte was written. */
        volatile long sentNs;
        /** What its client got: a status, or one of the words above; null while it waits. */
        volatile String end;

        volatile long endNs;
        /** Its client closed the connection before there was an answer; 0: it did not. */
        volatile long disconnectedNs;

        ClientRequest(String id, boolean unsafe, double remainingMs, boolean first, double idleBeforeMs) {
            this.id = id;
            this.unsafe = unsafe;
            this.remainingMs = remainingMs;
            this.first = first;
            this.idleBeforeMs = idleBeforeMs;
        }

        /** By when an answer can be had: answers come in the order of their requests. */
        long responseDueNs() {
            long ownNs = sentNs + (long) (remainingMs * 1e6);
            return predecessor == null ? ownNs : Math.max(ownNs, predecessor.responseDueNs());
        }

        void ended(String how) {
            endNs = System.nanoTime();
            end = how;
        }
    }

    /** An attempt as a server sees it. */
    static final class Attempt {

        final String id;
        final String server;
        final double announcedRemainingMs;
        final long firstByteNs;
        /** Its last byte has come: the server begins. */
        volatile long processingStartNs;
        /** It was answered, or its connection was found closed; 0: neither. */
        volatile long finishedNs;
        /** An answer without a length was written whole. */
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
        /** It had an error or its connection was closed; 0: neither. */
        volatile long endedNs;
    }

    /** A server leaves; {@code countsNs}: from when on the sidecar counts as told. */
    record DrainingServer(String server, long effectiveNs) {}

    /** A thread that only sleeps, or the sidecar, waited for the machine so long in all between two moments. */
    record MachineDelay(long fromNs, long untilNs, double ms) {}

    /** Idle clients filled the places of connections from one moment to another. */
    record CrowdPeriod(long fromNs, long untilNs) {}

    /** The process as it was at one look. */
    record ResourceSample(long atNs, int descriptors, long rssKb) {}

    final Map<String, ClientRequest> requests = new ConcurrentHashMap<>();
    final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    final Queue<PartialRequest> partialRequests = new ConcurrentLinkedQueue<>();
    final Queue<DrainingServer> drainingServers = new ConcurrentLinkedQueue<>();
    final Queue<MachineDelay> machineDelays = new ConcurrentLinkedQueue<>();
    final Queue<CrowdPeriod> crowds = new ConcurrentLinkedQueue<>();
    final Queue<ResourceSample> resourceSamples = new ConcurrentLinkedQueue<>();
    /** Times at which connections of clients ended. */
    final Queue<Long> clientEndsNs = new ConcurrentLinkedQueue<>();

    volatile long startedNs;
    volatile long readyNs;
    volatile long terminatedNs;
    volatile long endedNs;
    volatile boolean killed;
    volatile int exitCode;
    /** What a start that got SIGTERM did; 0: there was none. */
    volatile double terminatedStartupMs;

    volatile String log = "";

    Collection<ClientRequest> allRequests() {
        return requests.values();
    }

    List<Attempt> attemptsOf(String id) {
        return attempts.stream().filter(attempt -> attempt.id.equals(id)).toList();
    }

    /** How long the machine let the stand-ins or the sidecar wait between two moments, ms. */
    double machineDelayMs(long fromNs, long untilNs) {
        return machineDelays.stream()
                .filter(delay -> delay.untilNs() >= fromNs && delay.fromNs() <= untilNs)
                .mapToDouble(MachineDelay::ms)
                .sum();
    }
}
