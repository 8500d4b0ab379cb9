package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;

/** State of one request and its attempts. Decisions on it are made elsewhere. */
final class Request {

    final String id;
    final RequestClass requestClass;
    final RequestClassStats classStats;
    final double arrivedMs;
    /** When the latency objective ends, ms. */
    final double objectiveMs;

    /** When the client's present try ends, ms. */
    final double deadlineMs;

    /** When the client stops trying, ms. */
    final double clientGoneMs;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** Tokens of all timers set for this request, also of those that fired. */
    final List<Long> timerTokens = new ArrayList<>(2);

    int tenant;
    /** Attempts that have not ended. */
    int openAttemptCount;

    /** Whether the final answer was given, or the client has left. */
    boolean isClosed;

    /** Whether a streamed response has begun. */
    boolean isStreaming;

    /** Whether the request is a client's retry or beyond its tenant's quota. */
    boolean isOverQuota;

    /** Evenly drawn from [0,1): by it the request belongs to the warm-up shares of servers. */
    double shareDraw;

    Request(
            String id,
            RequestClass requestClass,
            RequestClassStats classStats,
            double arrivedMs,
            double timeoutMs,
            double elapsedMs) {
        this.id = id;
        this.requestClass = requestClass;
        this.classStats = classStats;
        this.arrivedMs = arrivedMs;
        this.objectiveMs = arrivedMs + requestClass.latencyObjectiveMs() - elapsedMs;
        this.deadlineMs = arrivedMs + timeoutMs;
        this.clientGoneMs = arrivedMs + requestClass.deadlineMs() - elapsedMs;
    }

    /** Until when a response counts, ms. */
    double usefulUntilMs() {
        double valuedUntilMs = requestClass.lateWeightShare() > 0 ? deadlineMs : objectiveMs;
        return Math.min(valuedUntilMs, deadlineMs);
    }

    /** Time until a response no longer counts, scaled to a mean request, ms. */
    double remainingMs(double nowMs) {
        return (usefulUntilMs() - nowMs) / classStats.latencyFactor;
    }

    /** The attempt of that number if it exists and has not ended, else null. */
    Attempt openAttempt(int number) {
        return number >= 0 && number < attempts.size() && attempts.get(number).isOpen() ? attempts.get(number) : null;
    }

    /** A number in [0,1) that is fixed for the request and a zone; takes nothing from the random generator. */
    double zoneDraw(int zone) {
        return (HashMixer.mix(Double.doubleToLongBits(shareDraw) + zone) >>> 11) * 0x1p-53;
    }

    boolean wasSentTo(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether a connection broke, or a server died, while it had this request. */
    boolean hasBrokenAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == Outcome.BROKEN) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that a server may have executed, or null. */
    Attempt firstAttemptThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.isOpen() || !attempt.outcome.neverRan()) {
                return attempt;
            }
        }
        return null;
    }

    boolean mayBeSentAgain(int maxAttempts) {
        return attempts.size() < maxAttempts
                && (requestClass.idempotency() != Idempotency.NON_IDEMPOTENT || firstAttemptThatMayHaveRun() == null);
    }

    /** One send of the request to one server, with the estimates of that moment. */
    static final class Attempt {

        final int number;
        final Server server;
        final double sentMs;
        final double inFlight;
        final double capacity;
        final double expectedLatencyMs;
        /** Null while the attempt is open. */
        Outcome outcome;

        Attempt(int number, Server server, double sentMs, double expectedLatencyMs) {
            this.number = number;
            this.server = server;
            this.sentMs = sentMs;
            this.inFlight = server.inFlight;
            this.capacity = server.capacity;
            this.expectedLatencyMs = expectedLatencyMs;
        }

        boolean isOpen() {
            return outcome == null;
        }
    }
}
