package peppergauge.sockets;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Connections whose clients have sent more than was handled in their turn. They take turns in the order in which they
 * came, for a limited time in each round, so that connections without a backlog, timers and servers' responses are
 * handled beside any number of them (as flow queues are in FQ-CoDel, RFC 8290). Only the event loop's thread uses it.
 */
final class InputBacklog {

    /** Time for turns in a round, ms; at least one turn is taken. */
    private static final double MAX_MS_PER_ROUND = 2;

    private final EventLoop loop;
    private final DoubleSupplier clockMs;
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    InputBacklog(EventLoop loop, DoubleSupplier clockMs) {
        this.loop = loop;
        this.clockMs = clockMs;
        loop.runEachRound(this::takeTurns);
    }

    /** Adds a connection's next turn, to be taken in this round or a later one. */
    void add(Runnable turn) {
        waiting.add(turn);
        loop.wakeUp();
    }

    private void takeTurns() {
        int turns = waiting.size();
        if (turns == 0) {
            return;
        }
        loop.onInputEvent();
        double untilMs = clockMs.getAsDouble() + MAX_MS_PER_ROUND;
        do {
            waiting.remove().run();
        } while (--turns > 0 && clockMs.getAsDouble() < untilMs);
        if (!waiting.isEmpty()) {
            loop.wakeUp();
        }
    }
}
