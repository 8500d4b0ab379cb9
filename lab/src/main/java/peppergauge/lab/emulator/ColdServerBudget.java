package peppergauge.lab.emulator;

import java.util.ArrayDeque;

/**
 * Compares the work sent to a cold server within a sliding window, rejected or not, with a multiple of the server's
 * current capacity in that window. The limit is a budget: a short burst may exhaust it before the window has passed.
 */
class ColdServerBudget {

    /** Tolerance for random variation, as a share of the budget and as a number of requests of mean work. */
    private static final double TOLERANCE_FACTOR = 1.1;

    private static final int TOLERANCE_REQUESTS = 2;
    /**
     * Minimum share of the work from sidecars that knew of the start for these to count as the cause of the overload.
     */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    private record SentWork(long tick, double workMs, boolean informed) {}

    private final double multiple;
    private final double spanMs;
    private final ArrayDeque<SentWork> sent = new ArrayDeque<>();
    private double totalMs;
    private double informedMs;

    ColdServerBudget(double multiple, double spanMs) {
        this.multiple = multiple;
        this.spanMs = spanMs;
    }

    void start() {
        sent.clear();
        totalMs = 0;
        informedMs = 0;
    }

    /** Records a request; returns whether it overloads the server so that the server fails. */
    boolean sent(long now, ServerJob job, boolean informed, double capacity) {
        return sent(now, job.request.workMs, informed, capacity);
    }

    /**
     * Records work; returns whether it overloads the server so that the server fails.
     *
     * @param workMs work in ms of a standard core
     * @param capacity current capacity of the server in standard cores
     */
    boolean sent(long now, double workMs, boolean informed, double capacity) {
        long span = VirtualTime.ticks(spanMs);
        while (!sent.isEmpty() && now - sent.peekFirst().tick() > span) {
            SentWork old = sent.pollFirst();
            totalMs -= old.workMs();
            informedMs -= old.informed() ? old.workMs() : 0;
        }
        sent.addLast(new SentWork(now, workMs, informed));
        totalMs += workMs;
        informedMs += informed ? workMs : 0;
        return totalMs > TOLERANCE_FACTOR * multiple * capacity * spanMs + TOLERANCE_REQUESTS * totalMs / sent.size();
    }

    /** Whether sidecars that knew of the start caused the overload. */
    boolean causedByInformedSidecars() {
        return informedMs >= MIN_INFORMED_SHARE * totalMs;
    }
}
