package peppergauge.lab.emulator;

import java.util.ArrayDeque;

/**
 * What a cold server was sent, turned away or not, over a span of time, against a multiple of what it can do at
 * present in that span. Counted as a budget: a short heavy burst can spend it before the span has passed.
 */
class ColdBudget {

    /** Room for chance: a share, and so many requests' work. */
    private static final double SLACK_SHARE = 1.1;

    private static final int SLACK_REQUESTS = 2;
    /** From this share of what came from sidecars that knew of the start, they have pushed it over. */
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

    /** Whether this request falls the server over. */
    boolean sent(long now, Job job, boolean knowing, double capacity) {
        return sent(now, job.request.workMs, knowing, capacity);
    }

    /**
     * Whether this falls the server over.
     *
     * @param workMs ms of a standard core
     * @param capacity what the server can do at present, standard cores
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

    /** Whether sidecars that knew of the start pushed it. */
    boolean knowingly() {
        return knowingMs >= KNOWING_SHARE * sumMs;
    }
}
