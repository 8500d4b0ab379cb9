package peppergauge.lab.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.callfault.FaultTarget;

/** The periods of a run in which system calls of the sidecar fail, and what they excuse. Thread-safe. */
final class CallFailures {

    /** The sidecar works as before this long after its calls have ceased to fail. */
    private static final long MAX_RECOVERY_NS = 1_000_000_000L;
    /** The sidecar calls discovery again within this time once it responds. */
    private static final long MAX_CALL_INTERVAL_NS = 300_000_000L;

    private final Queue<Period> periods = new ConcurrentLinkedQueue<>();

    /** A period in which calls fail. */
    static final class Period {

        private final CallFault fault;
        private final long fromNs = System.nanoTime();
        private volatile long untilNs = Long.MAX_VALUE;

        private Period(CallFault fault) {
            this.fault = fault;
        }

        /** Ends the period now. */
        void end() {
            untilNs = System.nanoTime();
        }

        /** Returns from when on the sidecar works as before; a period that still lasts counts until now. */
        private long recoveredNs() {
            return (untilNs == Long.MAX_VALUE ? System.nanoTime() : untilNs) + MAX_RECOVERY_NS;
        }

        private boolean overlaps(long otherFromNs, long otherUntilNs) {
            return fromNs <= otherUntilNs && untilNs >= otherFromNs;
        }

        private boolean concernsDiscovery() {
            return fault.target() == FaultTarget.ANY || fault.target() == FaultTarget.SERVERS;
        }
    }

    /** Begins a period; calls fail until it is ended. */
    Period begin(CallFault fault) {
        Period period = new Period(fault);
        periods.add(period);
        return period;
    }

    private Stream<Period> overlapping(long fromNs, long untilNs) {
        return periods.stream().filter(period -> period.overlaps(fromNs, untilNs));
    }

    /** Whether a call on a client's own connection may have failed between two times, which may end the connection. */
    boolean mayHaveBrokenConnection(long fromNs, long untilNs) {
        return overlapping(fromNs, untilNs).anyMatch(period -> period.fault.mayBreakClientConnections());
    }

    /**
     * Returns the time from which the first request of a connection can have been read: the time it was sent, or when
     * connections are accepted again.
     */
    long readableNs(long sentNs) {
        return overlapping(sentNs - MAX_RECOVERY_NS, sentNs)
                .filter(period -> period.fault.keepsClientsOut())
                .mapToLong(Period::recoveredNs)
                .reduce(sentNs, Math::max);
    }

    /** Returns when a response that was due at a time can be written; between the two times none can for a while. */
    long writableNs(long sentNs, long dueNs) {
        return overlapping(sentNs, dueNs)
                .filter(period -> period.fault.blocksResponses())
                .mapToLong(Period::recoveredNs)
                .reduce(dueNs, Math::max);
    }

    /** Returns the time from which the sidecar can know what discovery announced at the given time. */
    long announcedNs(long atNs) {
        return overlapping(atNs - MAX_RECOVERY_NS, atNs + MAX_CALL_INTERVAL_NS)
                .filter(Period::concernsDiscovery)
                .mapToLong(Period::recoveredNs)
                .reduce(atNs, Math::max);
    }
}
