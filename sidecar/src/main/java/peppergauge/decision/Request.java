package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;

/** State of one request and its attempts. */
final class Request {

    final String id;
    final RequestClass requestClass;
    final RequestClassStats classStats;
    final double arrivedMs;
    /** Time at which the latency objective ends, ms. */
    final double objectiveMs;

    /** Time at which the client's timeout for this try ends, ms. */
    final double deadlineMs;

    /** Time after which the client does not retry any more, ms. */
    final double clientDeadlineMs;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** Tokens of all timers that were set for this request, including those that have fired. */
    final List<Long> timerTokens = new ArrayList<>(2);

    int tenant;
    /** Number of attempts that have not ended. */
    int openAttemptCount;

    /** Whether the final answer was given or the client has disconnected. */
    boolean isClosed;

    /** Whether a streamed response has begun. */
    boolean isStreaming;

    /** Whether the request is a client's retry or beyond its tenant's quota. */
    boolean isOverQuota;

    /** Uniformly distributed in [0,1); decides which warm-up shares and zones the request belongs to. */
    double randomDraw;

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
        this.clientDeadlineMs = arrivedMs + requestClass.deadlineMs() - elapsedMs;
    }

    /** Time until which a response has a value, ms. */
    double usefulUntilMs() {
        double valuedUntilMs = requestClass.lateWeightShare() > 0 ? deadlineMs : objectiveMs;
        return Math.min(valuedUntilMs, deadlineMs);
    }

    /** Remaining time in which a response has a value, scaled to a mean request, ms. */
    double remainingMs(double nowMs) {
        return (usefulUntilMs() - nowMs) / classStats.latencyFactor;
    }

    /** The attempt with the given number if it exists and has not ended; otherwise null. */
    Attempt openAttempt(int number) {
        return number >= 0 && number < attempts.size() && attempts.get(number).isOpen() ? attempts.get(number) : null;
    }

    /** A number in [0,1) that is fixed for this request and the zone; does not use the random generator. */
    double zoneDraw(int zone) {
        return (HashMixer.mix(Double.doubleToLongBits(randomDraw) + zone) >>> 11) * 0x1p-53;
    }

    boolean wasSentTo(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether the connection broke, or the server crashed, during one of the attempts. */
    boolean hasBrokenAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == Outcome.BROKEN) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that a server may have executed; null if there is none. */
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

    /** One attempt of the request at one server, with the estimates at the time when it was sent. */
    static final class Attempt {

        final int number;
        final Server server;
        final double sentMs;
        final double inFlight;
        final double capacity;
        final double expectedLatencyMs;
        /** How the attempt ended; null while it is open. */
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
