package peppergauge.lab.play;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;

/**
 * Models a backend server: requests in its slots share its cores evenly, further requests wait in a bounded queue, and
 * those that find the queue full are rejected. Execution goes on after the client has left. A new model is warm; after
 * {@link #start} it is cold.
 *
 * <p>All running jobs get the same share of the cores, so one running sum of the work that each job has received tells
 * when any of them completes.
 */
final class ServerModel {

    /** How a request ended; {@code LOST} means that it was executed and its connection broke before the response. */
    enum Outcome {
        SERVED,
        ERROR,
        REJECTED,
        LOST
    }

    /**
     * A request.
     *
     * @param ms work, in ms of a standard core
     * @param key 0 for none
     * @param expiresMs deadline that the sender stated
     * @param onStart called when the request starts to execute
     * @param onEnd called with the outcome; not called if the server stops first
     */
    record Work(double ms, int key, double expiresMs, Runnable onStart, Consumer<Outcome> onEnd) {}

    /** A running job; {@code work} is null for background work that is not a request. */
    private record Job(Work work, double wholeMs, double doneAt, double begunMs) {}

    /** Interval at which the rate is recomputed while the server warms up. */
    private static final double REFRESH_MS = 50;

    private static final double DONE_TOLERANCE_MS = 1e-6;
    /** Time after which a request that fails without executing is answered. */
    private static final double FAST_ERROR_MS = 0.5;
    /** Weight of the newest sample in the moving average of the reported service time. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final Timers timers;
    private final ServerGroup kind;
    private final SplittableRandom random;
    private final double speed;
    private final PriorityQueue<Job> active = new PriorityQueue<>((a, b) -> Double.compare(a.doneAt, b.doneAt));
    private final ArrayDeque<Work> waiting = new ArrayDeque<>();
    private final Map<Integer, Double> keys = new LinkedHashMap<>();
    private int inSlots;
    /** Work that a job running since the start would have received, in ms of a standard core. */
    private double perJobWorkMs;

    private double rate;
    private double updatedMs;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private double workedMs;
    private double serviceMs;
    private double slowdown = 1;
    private int pauses;
    private double failShare;
    private double lossShare;
    private int scheduleVersion;

    ServerModel(Timers timers, ServerGroup kind, SplittableRandom random) {
        this.timers = timers;
        this.kind = kind;
        this.random = random;
        speed = kind.speed() * (1 + kind.speedSpread() * (2 * random.nextDouble() - 1));
    }

    /** Restarts the server cold. */
    void start() {
        end();
        startedMs = timers.nowMs();
        workedMs = 0;
        keys.clear();
    }

    /** Stops the server and drops all requests, whose callbacks are not called. */
    void end() {
        update();
        active.clear();
        waiting.clear();
        inSlots = 0;
        rate = 0;
        scheduleVersion++;
    }

    void slow(double times) {
        update();
        slowdown *= times;
        reschedule();
    }

    void pause(double ms) {
        update();
        pauses++;
        reschedule();
        timers.after(ms, () -> {
            update();
            pauses--;
            reschedule();
        });
    }

    /** Sets the share of requests that fail without executing. */
    void fail(double share) {
        failShare = share;
    }

    /** Sets the share of executed requests whose response is lost. */
    void loseResponses(double share) {
        lossShare = share;
    }

    void arrive(Work work) {
        update();
        if (random.nextDouble() < Math.max(failShare, kind.errors())) {
            timers.after(FAST_ERROR_MS, () -> work.onEnd.accept(Outcome.ERROR));
        } else if (!slotFree() && waiting.size() >= kind.room() * kind.cores()) {
            work.onEnd.accept(Outcome.REJECTED);
        } else {
            waiting.addLast(work);
            startWaiting();
        }
    }

    /** Adds work that needs no slot, such as a connection's handshake or a health check. */
    void addBackgroundWork(double workMs) {
        if (workMs > 0) {
            update();
            active.add(new Job(null, workMs, perJobWorkMs + workMs, 0));
            reschedule();
        }
    }

    private boolean slotFree() {
        return inSlots < kind.slots() * kind.cores();
    }

    private void startWaiting() {
        while (slotFree() && !waiting.isEmpty()) {
            Work work = waiting.pollFirst();
            if (kind.dropsExpired() && work.expiresMs < timers.nowMs()) {
                work.onEnd.accept(Outcome.REJECTED);
            } else {
                inSlots++;
                double ms = work.ms * useKey(work.key);
                active.add(new Job(work, ms, perJobWorkMs + ms, timers.nowMs()));
                // This callback may stop the server, so no state is read between the call and the loop's condition.
                work.onStart.run();
            }
        }
        reschedule();
    }

    /** Marks a key as used; returns the share of the work that remains for it, below 1 if it was in memory. */
    private double useKey(int key) {
        if (key == 0 || kind.memoryKeys() == 0) {
            return 1;
        }
        Double last = keys.remove(key);
        keys.put(key, timers.nowMs());
        if (keys.size() > kind.memoryKeys()) {
            Iterator<Integer> oldest = keys.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return last != null && timers.nowMs() - last <= Scenario.toMillis(kind.memoryTime())
                ? 1 - kind.memorySaving()
                : 1;
    }

    /** Returns the share of full capacity that the server has while it warms up, from 0 to 1. */
    private double warmUpFactor() {
        double coldMs = Scenario.toMillis(kind.coldTime());
        double passedMs = startedMs == Double.NEGATIVE_INFINITY
                ? coldMs
                : kind.warmBy() == ServerGroup.WarmBy.WORK
                        ? workedMs / (kind.cores() * speed)
                        : timers.nowMs() - startedMs;
        return passedMs >= coldMs ? 1 : kind.coldFrom() + (1 - kind.coldFrom()) * passedMs / coldMs;
    }

    /** Accounts for the work done since the last update. */
    private void update() {
        double now = timers.nowMs();
        double doneMs = rate * (now - updatedMs);
        updatedMs = now;
        perJobWorkMs += doneMs;
        workedMs += doneMs * active.size();
    }

    /** Recomputes the rate and sets the timer for the next job to complete. */
    private void reschedule() {
        double warm = warmUpFactor();
        rate = active.isEmpty() || pauses > 0
                ? 0
                : speed * warm / slowdown * Math.min(1, (double) kind.cores() / active.size());
        int version = ++scheduleVersion;
        double waitMs = rate > 0 ? Math.max(0, active.peek().doneAt - perJobWorkMs) / rate : Double.POSITIVE_INFINITY;
        if (warm < 1 && !active.isEmpty()) {
            waitMs = Math.min(waitMs, REFRESH_MS);
        }
        if (waitMs < Double.POSITIVE_INFINITY) {
            timers.after(waitMs, () -> {
                if (scheduleVersion == version) {
                    completeDueJobs();
                }
            });
        }
    }

    private void completeDueJobs() {
        update();
        while (!active.isEmpty() && active.peek().doneAt <= perJobWorkMs + DONE_TOLERANCE_MS) {
            Job job = active.poll();
            if (job.work != null) {
                inSlots--;
                double tookMs = timers.nowMs() - job.begunMs;
                serviceMs += (serviceMs == 0 ? 1 : NEWEST_WEIGHT) * (tookMs - serviceMs);
                job.work.onEnd.accept(lossShare > 0 && random.nextDouble() < lossShare ? Outcome.LOST : Outcome.SERVED);
            }
        }
        startWaiting();
    }

    /** Returns the number of requests that run or wait. */
    int heldRequests() {
        return inSlots + waiting.size();
    }

    /** Returns the current share of full capacity, from 0 to 1. */
    double capacity() {
        return pauses > 0 ? 0 : warmUpFactor() / slowdown;
    }

    /** Returns the load report in the form of its header. */
    String report() {
        return "inflight=" + heldRequests() + ",queue=" + waiting.size() + ",latency_ms="
                + Math.round(serviceMs * 1e3) / 1e3;
    }
}
