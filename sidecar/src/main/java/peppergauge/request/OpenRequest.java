package peppergauge.request;

import java.util.ArrayList;
import java.util.List;

/** An open session: who waits for its answer and what is out for it. Only the owner thread touches it. */
final class OpenRequest {

    final IncomingRequest opening;
    final ResponseListener frontend;
    final List<Attempt> attempts = new ArrayList<>(2);
    Scheduler.ScheduledTask deadline;
    boolean answered;
    int out;
    /** Its long body is with one server alone, and cannot be sent to another. */
    boolean committed;

    OpenRequest(IncomingRequest opening, ResponseListener frontend) {
        this.opening = opening;
        this.frontend = frontend;
    }

    String id() {
        return opening.id();
    }

    /** One send of the session to one backend server. */
    static final class Attempt {

        final OpenRequest session;
        final int number;
        final String server;
        /** Null where the server table names it no longer. */
        final Backend.Server to;

        final double sentMs;
        Backend.Exchange exchange;
        Scheduler.ScheduledTask timeout;
        boolean ended;
        /** It is proved that it never ran; not so while it is out. */
        boolean neverRan;
        /** Its answer has begun, and its body flows. */
        boolean begun;

        Attempt(OpenRequest session, String server, Backend.Server to, double sentMs) {
            this.session = session;
            this.number = session.attempts.size();
            this.server = server;
            this.to = to;
            this.sentMs = sentMs;
        }
    }
}
