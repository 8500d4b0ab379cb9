package peppergauge.lab.emulator;

import java.util.ArrayDeque;

/**
 * Compares the work sent to a cold server within a sliding window, rejected or not, with a multiple of the server's
 * current capacity in that window. The limit is a budget: a short burst may exhaust it before the window has passed.
 */
class ColdBudget {

    /** Tolerance for random variation, as a share of the budget and as a number of requests of mean work. */
    private static final double SLACK_SHARE = 1.1;

    private static final int SLACK_REQUESTS = 2;
    /**
     * Minimum share of the work from sidecars that knew of the start for these to count as the cause of the overload.
     */
    private static final double KNOWING_SHARE = 2.0 / 3;

    private record Sent(long tick, double workMs, boolean knowing) {}

    private final double multiple;
    private final double spanMs;
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double sumMs;
    private double knowingMs;

    ColdBudget(double multiple, double spanMs) {
        this.multiple = multiple;
        this.spanMs = spanMs;
    }

    void start() {
        sent.clear();
        sumMs = 0;
        knowingMs = 0;
    }

    /** Records a request; returns whether it overloads the server so that the server fails. */
    boolean sent(long now, Job job, boolean knowing, double capacity) {
        return sent(now, job.request.workMs, knowing, capacity);
    }

    /**
     * Records work; returns whether it overloads the server so that the server fails.
     *
     * @param workMs work in ms of a standard core
     * @param capacity current capacity of the server in standard cores
     */
    boolean sent(long now, double workMs, boolean knowing, double capacity) {
        long span = VirtualTime.ticks(spanMs);
        while (!sent.isEmpty() && now - sent.peekFirst().tick() > span) {
            Sent old = sent.pollFirst();
            sumMs -= old.workMs();
            knowingMs -= old.knowing() ? old.workMs() : 0;
        }
        sent.addLast(new Sent(now, workMs, knowing));
        sumMs += workMs;
        knowingMs += knowing ? workMs : 0;
        return sumMs > SLACK_SHARE * multiple * capacity * spanMs + SLACK_REQUESTS * sumMs / sent.size();
    }

    /** Whether sidecars that knew of the start caused the overload. */
    boolean knowingly() {
        return knowingMs >= KNOWING_SHARE * sumMs;
    }
}
