package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.PendingRequest;
import peppergauge.request.Scheduler;
import peppergauge.sockets.EventLoop;

/**
 * Event loop of a sidecar in virtual time. It runs in rounds, like the real event loop, and notifies the overload
 * controller of them. A round lasts for the time spent by its tasks; tasks that arrive meanwhile, or while the process
 * is paused, run in the next round.
 */
final class SidecarLoop implements Scheduler {

    /**
     * Maximum number of consecutive idle rounds reported; further ones do not change the overload controller's state.
     */
    private static final int MAX_IDLE_ROUNDS = 100;

    private final VirtualTime time;
    private final OverloadController<?, PendingRequest> overload;
    private final PlantedFault faults;
    private final Consumer<Throwable> onException;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean awake;
    private boolean dead;
    private long busyUntil;
    private long pausedUntil;
    private double roundEndedMs;
    /** Time spent so far in the current round. */
    private double spentMs;

    SidecarLoop(
            VirtualTime time,
            OverloadController<?, PendingRequest> overload,
            PlantedFault faults,
            Consumer<Throwable> onException) {
        this.time = time;
        this.overload = overload;
        this.faults = faults;
        this.onException = onException;
        roundEndedMs = time.nowMs();
        overload.onSelectReturned(roundEndedMs);
        overload.onRoundEnded(roundEndedMs, true);
    }

    @Override
    public void execute(Runnable task) {
        if (!dead) {
            tasks.addLast(task);
            if (!awake) {
                awake = true;
                time.at(Math.max(busyUntil, pausedUntil), this::round);
            }
        }
    }

    @Override
    public ScheduledTask schedule(double ms, Runnable task) {
        Timer pending = new Timer(task);
        if (!faults.dropsTimer(ms)) {
            pending.event = time.after(ms + spentMs, () -> execute(pending));
        }
        return pending;
    }

    /** A timer that can be cancelled even when it is due and waits in the task queue. */
    private static final class Timer implements ScheduledTask, Runnable {

        private Runnable task;
        private VirtualTime.Event event;

        Timer(Runnable task) {
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
            if (event != null) {
                event.cancel();
            }
        }

        @Override
        public void run() {
            Runnable once = task;
            task = null;
            if (once != null) {
                once.run();
            }
        }
    }

    void pause(double ms) {
        pausedUntil = Math.max(pausedUntil, time.now() + VirtualTime.ticks(ms));
    }

    /** Tick until which the process is paused; in the past if it is not. */
    long pausedUntil() {
        return pausedUntil;
    }

    void stop() {
        dead = true;
        tasks.clear();
    }

    private void round() {
        if (dead) {
            return;
        }
        if (time.now() < pausedUntil) {
            time.at(pausedUntil, this::round);
            return;
        }
        double nowMs = time.nowMs();
        guarded(() -> {
            idleRounds();
            overload.onSelectReturned(nowMs);
        });
        for (Runnable task = tasks.pollFirst(); task != null; task = tasks.pollFirst()) {
            guarded(task);
        }
        awake = false;
        busyUntil = time.now() + VirtualTime.ticks(spentMs);
        roundEndedMs = nowMs + spentMs;
        spentMs = 0;
        guarded(() -> overload.onRoundEnded(roundEndedMs, true));
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError thrown) {
            onException.accept(thrown);
        }
    }

    /** Extends the current round. */
    void spend(double ms) {
        spentMs += ms;
    }

    /** Clock for the tasks of a round; it includes the time spent in the current round. */
    Clock clock() {
        return new Clock(VirtualTime.ORIGIN_MS) {
            @Override
            public double nowMs() {
                return time.nowMs() + spentMs;
            }
        };
    }

    /** Reports the idle rounds since the last one, which occur at each select timeout, except after a pause. */
    private void idleRounds() {
        double idleMs = time.nowMs() - roundEndedMs;
        if (time.now() == pausedUntil) {
            return;
        }
        int rounds = (int) Math.min(MAX_IDLE_ROUNDS, idleMs / EventLoop.SELECT_INTERVAL_MS);
        for (int i = rounds; i > 0; i--) {
            double at = time.nowMs() - i * EventLoop.SELECT_INTERVAL_MS;
            if (at > roundEndedMs) {
                overload.onSelectReturned(at);
                overload.onRoundEnded(at, true);
            }
        }
    }
}
