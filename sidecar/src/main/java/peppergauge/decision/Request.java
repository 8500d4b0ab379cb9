package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;

/** What is known of a request and its attempts: facts only, the decisions are in {@code AdaptiveLoadBalancer}. */
final class Request {

    final String id;
    final RequestClass kind;
    final AdaptiveLoadBalancer.ClassStats stats;
    final double aimMs;
    final double deadlineMs;
    final double clientGoneMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Of this request, due ones too. */
    final List<Long> timers = new ArrayList<>(2);

    double arrivedMs;
    int outCount;
    boolean answered;
    int tenant;
    boolean over;
    boolean streaming;
    /** Where in [0,1) the request stands in the lot that shares out cold servers' budgets. */
    double lot;

    Request(
            String id,
            RequestClass kind,
            AdaptiveLoadBalancer.ClassStats stats,
            double aimMs,
            double deadlineMs,
            double clientGoneMs) {
        this.clientGoneMs = clientGoneMs;
        this.id = id;
        this.kind = kind;
        this.stats = stats;
        this.aimMs = aimMs;
        this.deadlineMs = deadlineMs;
    }

    double usefulUntilMs() {
        return kind.lateWeightShare() > 0 ? deadlineMs : aimMs;
    }

    Attempt out(int number) {
        return number >= 0 && number < attempts.size() && attempts.get(number).ended == null
                ? attempts.get(number)
                : null;
    }

    /** Where in [0,1) the request stands in the lot of a zone: of its own, so that no draw is taken for it. */
    double lot(int zone) {
        return (Server.mix(Double.doubleToLongBits(lot) + zone) >>> 11) * 0x1p-53;
    }

    boolean tried(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether a server died, or its connection did, with this request in its hands. */
    boolean broke() {
        for (Attempt attempt : attempts) {
            if (attempt.ended == Outcome.BROKEN) {
                return true;
            }
        }
        return false;
    }

    Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.ended == null || !attempt.ended.neverRan()) {
                return attempt;
            }
        }
        return null;
    }

    boolean mayTryAgain(int maxAttempts) {
        return attempts.size() < maxAttempts
                && (kind.idempotency() != Idempotency.NON_IDEMPOTENT || firstThatMayHaveRun() == null);
    }

    /** One send of the request to one server. */
    static final class Attempt {

        final int number;
        final Server server;
        final double sentMs;
        final double inFlight;
        final double capacity;
        final double expectedMs;
        Outcome ended;

        Attempt(int number, Server server, double sentMs, double inFlight, double capacity, double expectedMs) {
            this.number = number;
            this.server = server;
            this.sentMs = sentMs;
            this.inFlight = inFlight;
            this.capacity = capacity;
            this.expectedMs = expectedMs;
        }
    }
}
