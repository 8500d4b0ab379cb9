package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.PendingRequest;
import peppergauge.request.Scheduler;
import peppergauge.sockets.EventLoop;

/**
 * The one thread of a sidecar, in virtual time: it runs in rounds, as the real loop does, and tells the overload
 * control of them. A round takes the time that is booked for what it does; what comes meanwhile, or while the process
 * stands still, waits for the next.
 */
final class SidecarLoop implements Scheduler {

    /** After so many rounds without work, more of them tell the overload control nothing new. */
    private static final int MOST_IDLE_ROUNDS = 100;

    private final VirtualTime time;
    private final OverloadController<?, PendingRequest> overload;
    private final Sabotage sabotage;
    private final Consumer<Throwable> bug;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean awake;
    private boolean dead;
    private long busyUntil;
    private long pausedUntil;
    private double endedMs;
    /** What the present round has taken so far. */
    private double spentMs;

    SidecarLoop(
            VirtualTime time,
            OverloadController<?, PendingRequest> overload,
            Sabotage sabotage,
            Consumer<Throwable> bug) {
        this.time = time;
        this.overload = overload;
        this.sabotage = sabotage;
        this.bug = bug;
        endedMs = time.nowMs();
        overload.onSelectReturned(endedMs);
        overload.onRoundEnded(endedMs, true);
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
        Pending pending = new Pending(task);
        if (!sabotage.swallows(ms)) {
            pending.event = time.after(ms + spentMs, () -> execute(pending));
        }
        return pending;
    }

    /** A wait, which can also be taken back while it is due and stands in the queue. */
    private static final class Pending implements ScheduledTask, Runnable {

        private Runnable task;
        private VirtualTime.Event event;

        Pending(Runnable task) {
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

    /** Until when the process stands still, in ticks; in the past if it does not. */
    long pausedUntil() {
        return pausedUntil;
    }

    void die() {
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
        endedMs = nowMs + spentMs;
        spentMs = 0;
        guarded(() -> overload.onRoundEnded(endedMs, true));
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError thrown) {
            bug.accept(thrown);
        }
    }

    /** The present round takes so much longer, ms. */
    void spend(double ms) {
        spentMs += ms;
    }

    /** The time as what runs in a round sees it: later than the instant at which the round began. */
    Clock clock() {
        return new Clock(VirtualTime.ORIGIN_MS) {
            @Override
            public double nowMs() {
                return time.nowMs() + spentMs;
            }
        };
    }

    /** The select returns by itself now and then; not while the process stands still. */
    private void idleRounds() {
        double idleMs = time.nowMs() - endedMs;
        if (time.now() == pausedUntil) {
            return;
        }
        int rounds = (int) Math.min(MOST_IDLE_ROUNDS, idleMs / EventLoop.SELECT_INTERVAL_MS);
        for (int i = rounds; i > 0; i--) {
            double at = time.nowMs() - i * EventLoop.SELECT_INTERVAL_MS;
            if (at > endedMs) {
                overload.onSelectReturned(at);
                overload.onRoundEnded(at, true);
            }
        }
    }
}
