package peppergauge.invariant;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;

/** An open session as its host and the wire see it. */
final class CheckedSession {

    /** Where an attempt went, and how it ended; null while it has not. */
    static final class Sent {

        final String server;
        final int zone;
        final int cell;
        final double atMs;
        Outcome ended;

        Sent(String server, int zone, int cell, double atMs) {
            this.server = server;
            this.zone = zone;
            this.cell = cell;
            this.atMs = atMs;
        }

        boolean mayHaveRun() {
            return ended == null || !ended.neverRan();
        }
    }

    final String id;
    final RequestClass kind;
    final double deadlineMs;
    final List<Sent> sent = new ArrayList<>(2);
    /** Its final answer was given, or its client is gone. */
    boolean over;
    /** Its answer began: neither deadline nor time-out counts any more. */
    boolean begun;

    CheckedSession(String id, RequestClass kind, double deadlineMs) {
        this.id = id;
        this.kind = kind;
        this.deadlineMs = deadlineMs;
    }

    /** Null if there is no such attempt, or it has ended. */
    Sent out(int number) {
        return number >= 0 && number < sent.size() && sent.get(number).ended == null ? sent.get(number) : null;
    }

    boolean anyOut() {
        // A loop: it is asked at each event.
        for (Sent each : sent) {
            if (each.ended == null) {
                return true;
            }
        }
        return false;
    }

    /** Whether one more attempt there could let it run twice where it must not. */
    boolean mayRunTwice(CheckedServers.Place place, double nowMs) {
        return kind.idempotency() != Idempotency.IDEMPOTENT
                && sent.stream()
                        .filter(Sent::mayHaveRun)
                        .anyMatch(earlier -> kind.idempotency() == Idempotency.NON_IDEMPOTENT
                                || nowMs - earlier.atMs >= kind.keyWindowMs()
                                || !sameGroup(earlier, place));
    }

    private boolean sameGroup(Sent earlier, CheckedServers.Place place) {
        boolean zone = earlier.zone == place.zone();
        return switch (kind.keyScope()) {
            case ALL -> true;
            case ZONE -> zone;
            case CELL -> zone && earlier.cell == place.cell();
        };
    }

    /** A refusal says that it is safe to try again, wherever the client's next try goes. */
    boolean mayBeRefused() {
        return kind.idempotency() == Idempotency.IDEMPOTENT
                || kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && kind.keyScope() == KeyScope.ALL
                || sent.stream().noneMatch(Sent::mayHaveRun);
    }
}
