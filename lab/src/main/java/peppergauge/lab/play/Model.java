package peppergauge.lab.play;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;

/**
 * What a backend server can do: requests in its slots share its cores evenly, others wait in its room, what finds that
 * full is turned away. Work that has begun goes on whoever waits for it. It starts warm; after {@link #start} cold.
 *
 * <p>All in work get the same from the cores, so that one sum of what each got so far says when any of them is done.
 */
final class Model {

    /** How a request ended here; {@code LOST}: it ran, and its connection breaks in place of the answer. */
    enum End {
        SERVED,
        ERROR,
        TURNED_AWAY,
        LOST
    }

    /**
     * A request.
     *
     * @param ms of a standard core
     * @param key 0 for none
     * @param expiresMs the sender said that it waits until then
     * @param begun told when it starts to run
     */
    record Work(double ms, int key, double expiresMs, Runnable begun, Consumer<End> ended) {}

    /** {@code work} is null for what is not a request. */
    private record Job(Work work, double wholeMs, double doneAt, double begunMs) {}

    /** How often capacity is looked at again while time alone changes it, ms. */
    private static final double REFRESH_MS = 50;

    private static final double DONE_MS = 1e-6;
    /** What an error that needs no work takes, ms. */
    private static final double FAST_ERROR_MS = 0.5;
    /** Weight of the newest in the reported service time. */
    private static final double NEWEST = 0.1;

    private final Timers timers;
    private final ServerKind kind;
    private final SplittableRandom luck;
    private final double speed;
    private final PriorityQueue<Job> active = new PriorityQueue<>((a, b) -> Double.compare(a.doneAt, b.doneAt));
    private final ArrayDeque<Work> waiting = new ArrayDeque<>();
    private final Map<Integer, Double> keys = new LinkedHashMap<>();
    private int inSlots;
    /** Work that each job in work got since the start of the run, ms of a standard core. */
    private double given;

    private double rate;
    private double updatedMs;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private double workedMs;
    private double serviceMs;
    private double slowBy = 1;
    private int pauses;
    private double failShare;
    private double lossShare;
    private int plan;

    Model(Timers timers, ServerKind kind, SplittableRandom luck) {
        this.timers = timers;
        this.kind = kind;
        this.luck = luck;
        speed = kind.speed() * (1 + kind.speedSpread() * (2 * luck.nextDouble() - 1));
    }

    /** Starts anew, cold. */
    void start() {
        end();
        startedMs = timers.nowMs();
        workedMs = 0;
        keys.clear();
    }

    /** Ends with all that it holds, which hears nothing more. */
    void end() {
        update();
        active.clear();
        waiting.clear();
        inSlots = 0;
        rate = 0;
        plan++;
    }

    void slow(double times) {
        update();
        slowBy *= times;
        plan();
    }

    void pause(double ms) {
        update();
        pauses++;
        plan();
        timers.after(ms, () -> {
            update();
            pauses--;
            plan();
        });
    }

    /** A share of what comes fails at once. */
    void fail(double share) {
        failShare = share;
    }

    /** A share of what ran has no answer. */
    void loseAnswers(double share) {
        lossShare = share;
    }

    void arrive(Work work) {
        update();
        if (luck.nextDouble() < Math.max(failShare, kind.errors())) {
            timers.after(FAST_ERROR_MS, () -> work.ended.accept(End.ERROR));
        } else if (!slotFree() && waiting.size() >= kind.room() * kind.cores()) {
            work.ended.accept(End.TURNED_AWAY);
        } else {
            waiting.addLast(work);
            takeIn();
        }
    }

    /** Work beside requests, which needs no slot: a connection's handshake, a probe. */
    void beside(double workMs) {
        if (workMs > 0) {
            update();
            active.add(new Job(null, workMs, given + workMs, 0));
            plan();
        }
    }

    private boolean slotFree() {
        return inSlots < kind.slots() * kind.cores();
    }

    private void takeIn() {
        while (slotFree() && !waiting.isEmpty()) {
            Work work = waiting.pollFirst();
            if (kind.dropsExpired() && work.expiresMs < timers.nowMs()) {
                work.ended.accept(End.TURNED_AWAY);
            } else {
                inSlots++;
                double ms = work.ms * meet(work.key);
                active.add(new Job(work, ms, given + ms, timers.nowMs()));
                // What begins may kill the server: nothing of this model is touched between this and the loop's test.
                work.begun.run();
            }
        }
        plan();
    }

    /** Share of the work that is left for a key, which counts as met from now on. */
    private double meet(int key) {
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
        return last != null && timers.nowMs() - last <= Scenario.ms(kind.memoryTime()) ? 1 - kind.memorySaving() : 1;
    }

    /** Share of the full capacity that its start leaves it, 0 to 1. */
    private double warmth() {
        double coldMs = Scenario.ms(kind.coldTime());
        double passedMs = startedMs == Double.NEGATIVE_INFINITY
                ? coldMs
                : kind.warmBy() == ServerKind.WarmBy.WORK
                        ? workedMs / (kind.cores() * speed)
                        : timers.nowMs() - startedMs;
        return passedMs >= coldMs ? 1 : kind.coldFrom() + (1 - kind.coldFrom()) * passedMs / coldMs;
    }

    /** Books what was done since the last change. */
    private void update() {
        double now = timers.nowMs();
        double doneMs = rate * (now - updatedMs);
        updatedMs = now;
        given += doneMs;
        workedMs += doneMs * active.size();
    }

    /** Reckons the rate anew, and when something is next due. */
    private void plan() {
        double warm = warmth();
        rate = active.isEmpty() || pauses > 0
                ? 0
                : speed * warm / slowBy * Math.min(1, (double) kind.cores() / active.size());
        int mine = ++plan;
        double waitMs = rate > 0 ? Math.max(0, active.peek().doneAt - given) / rate : Double.POSITIVE_INFINITY;
        if (warm < 1 && !active.isEmpty()) {
            waitMs = Math.min(waitMs, REFRESH_MS);
        }
        if (waitMs < Double.POSITIVE_INFINITY) {
            timers.after(waitMs, () -> {
                if (plan == mine) {
                    due();
                }
            });
        }
    }

    private void due() {
        update();
        while (!active.isEmpty() && active.peek().doneAt <= given + DONE_MS) {
            Job job = active.poll();
            if (job.work != null) {
                inSlots--;
                double tookMs = timers.nowMs() - job.begunMs;
                serviceMs += (serviceMs == 0 ? 1 : NEWEST) * (tookMs - serviceMs);
                job.work.ended.accept(lossShare > 0 && luck.nextDouble() < lossShare ? End.LOST : End.SERVED);
            }
        }
        takeIn();
    }

    /** Requests held. */
    int held() {
        return inSlots + waiting.size();
    }

    /** Present share of its full capacity, 0 to 1. */
    double capacity() {
        return pauses > 0 ? 0 : warmth() / slowBy;
    }

    /** As the header says it. */
    String report() {
        return "inflight=" + held() + ",queue=" + waiting.size() + ",latency_ms=" + Math.round(serviceMs * 1e3) / 1e3;
    }
}
