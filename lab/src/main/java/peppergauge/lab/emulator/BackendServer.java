package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;

/**
 * One backend server. Requests in its slots share its cores evenly, further requests wait in a queue, and requests that
 * find the queue full are rejected. Work that has begun is completed even if no client waits for it; only the end of
 * the process cancels it.
 */
final class BackendServer {

    /** Interval at which the capacity is recomputed while it changes with time alone. */
    private static final double REFRESH_MS = 50;

    private static final double DONE_MS = 1e-6;
    /** Response time of an error that requires no work. */
    private static final double FAST_ERROR_MS = 0.5;
    /** Weight of the newest sample in the moving average of the reported service time. */
    private static final double NEWEST = 0.1;

    private final World world;
    private final int index;
    private final String id;
    private final String address;
    private final ServerKind kind;
    private final int zone;
    private final int cell;
    private final double speed;
    private final UniformRandomProvider luck;
    private final Warmth warmth;
    private final Choke choke;
    private final KeyMemory memory;
    private final ColdBudget budget;
    private final List<Job> active = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    /** Attempts that reached the machine while it was unresponsive; their connections are reset when it recovers. */
    private final List<Attempt> unanswered = new ArrayList<>();

    private EndpointState state = EndpointState.READY;
    private boolean up = true;
    private boolean silent;
    private int incarnation;
    private double startedMs;
    private int inSlots;
    private int connections;
    private long updated;
    private double rate;
    private VirtualTime.Event next;
    private double serviceMs;
    private double slowBy = 1;
    private final Map<Integer, Double> slowKind = new HashMap<>();
    private int pauses;
    private double failShare;
    private double lossShare;

    BackendServer(World world, int index, String id, String address, ServerKind kind, int zone, int cell) {
        this.world = world;
        this.index = index;
        this.id = id;
        this.address = address;
        this.kind = kind;
        this.zone = zone;
        this.cell = cell;
        luck = world.streams.of("server/" + id);
        speed = kind.speed() * (1 + kind.speedSpread() * (2 * luck.nextDouble() - 1));
        warmth = new Warmth(kind, kind.cores() * speed);
        choke = new Choke(kind);
        memory = new KeyMemory(kind);
        budget = world.coldBudgets.apply(this);
        if (!kind.pauseEvery().isZero()) {
            nextPause(world.streams.of("pause/" + id));
        }
    }

    private void nextPause(UniformRandomProvider random) {
        world.time.after(Scenario.ms(kind.pauseEvery()) * Streams.exponential(random), () -> {
            pause(Scenario.ms(kind.pauseLength()));
            nextPause(random);
        });
    }

    // ---- Process lifecycle ----

    /** Starts the process, which is cold. */
    void start() {
        up = true;
        silent = false;
        state = EndpointState.READY;
        incarnation++;
        connections = 0;
        startedMs = world.time.nowMs();
        warmth.start(world.time.now());
        choke.start();
        memory.clear();
        budget.start();
        updated = world.time.now();
        rate = 0;
        world.note(Trace.Kind.STARTED, -1, -1, index, incarnation);
        world.discovery.changed(this, false);
    }

    /** Ends the process with its unfinished work; the machine resets the process's connections. */
    void die() {
        boolean wasSilent = silent;
        List<Attempt> inHand = end();
        world.note(Trace.Kind.STATE, -1, -1, index, 0);
        inHand.forEach(attempt -> attempt.answer(this, Outcome.BROKEN));
        if (!wasSilent) {
            world.sidecars.forEach(sidecar -> sidecar.reset(this));
        }
    }

    /** Makes the machine unresponsive: connections stay open, and no response is sent. */
    void vanish() {
        List<Attempt> inHand = end();
        silent = true;
        unanswered.addAll(inHand);
        world.note(Trace.Kind.STATE, -1, -1, index, 1);
    }

    /** Restarts the machine; connections from before are reset. */
    void comeBack() {
        List<Attempt> held = List.copyOf(unanswered);
        unanswered.clear();
        held.forEach(attempt -> attempt.answer(this, Outcome.BROKEN));
        world.sidecars.forEach(sidecar -> sidecar.reset(this));
        start();
    }

    private List<Attempt> end() {
        update();
        List<Attempt> inHand = new ArrayList<>(unanswered);
        active.stream().filter(job -> job.attempt != null).forEach(job -> {
            inHand.add(job.attempt);
            world.meters.worked(job.wholeMs - job.leftMs, true);
        });
        waiting.forEach(job -> inHand.add(job.attempt));
        unanswered.clear();
        active.clear();
        waiting.clear();
        inSlots = 0;
        up = false;
        cancelNext();
        return inHand;
    }

    void drain() {
        state = EndpointState.DRAINING;
        world.note(Trace.Kind.STATE, -1, -1, index, 2);
        world.discovery.changed(this, false);
    }

    /** Ends the process by a graceful shutdown and removes the server. */
    void leave() {
        state = EndpointState.REMOVED;
        if (up) {
            die();
        }
        world.discovery.changed(this, false);
    }

    // ---- Incidents ----

    void slow(double times) {
        update();
        slowBy *= times;
        reschedule();
    }

    /** Multiplies the work of one request class; requests in service are not affected. */
    void slow(int ofKind, double times) {
        slowKind.merge(ofKind, times, (was, is) -> was * is);
    }

    void pause(double ms) {
        update();
        pauses++;
        reschedule();
        world.time.after(ms, () -> {
            update();
            pauses--;
            reschedule();
        });
    }

    void fail(double share) {
        failShare = share;
    }

    void loseAnswers(double share) {
        lossShare = share;
    }

    // ---- Connections, requests, probes ----

    /** Returns whether a new connection is accepted; the handshake of an accepted connection costs work. */
    boolean connect() {
        if (!up || connections >= kind.connections() * kind.cores()) {
            return false;
        }
        connections++;
        beside(Scenario.ms(kind.connectionWork()));
        return true;
    }

    void disconnected(int ofIncarnation) {
        if (ofIncarnation == incarnation) {
            connections--;
        }
    }

    /** Handles a request that has arrived completely. */
    void arrive(Job job, boolean knowing) {
        world.note(Trace.Kind.REACHED, job.attempt.sidecar(), job.attempt.session(), index, -1);
        update();
        double share = warmth.share(world.time.now());
        if (share < 1 && budget.sent(world.time.now(), job, knowing, kind.cores() * speed * share)) {
            fallOver(job);
        } else if (luck.nextDouble() < Math.max(failShare, kind.errors())) {
            world.time.after(FAST_ERROR_MS, () -> job.attempt.answer(this, Outcome.ERROR));
        } else if (waiting.size() >= kind.room() * kind.cores() && !slotFree()) {
            job.attempt.answer(this, Outcome.OVERLOADED);
        } else {
            waiting.addLast(job);
            changed();
        }
    }

    private void fallOver(Job last) {
        boolean knowingly = budget.knowingly();
        world.meters.felled();
        die();
        last.attempt.answer(this, Outcome.BROKEN);
        world.discovery.changed(this, true);
        if (knowingly) {
            world.rulebook.broken(
                    Rulebook.Rule.COLD,
                    id + " was cold and was sent more than " + world.figures.fallMultiple
                            + " times its present capacity");
        }
    }

    /** The load report in response to a probe; null if the server is down. */
    double[] probed() {
        if (!up) {
            return null;
        }
        beside(Scenario.ms(kind.probeWork()));
        return load();
    }

    private void beside(double workMs) {
        if (workMs > 0) {
            update();
            active.add(new Job(workMs));
            reschedule();
        }
    }

    void silenced(Attempt attempt) {
        unanswered.add(attempt);
    }

    /** Load report: requests in flight, requests queued, and service time in ms. */
    double[] load() {
        return new double[] {inSlots + waiting.size(), waiting.size(), serviceMs};
    }

    // ---- Work ----

    private boolean slotFree() {
        return inSlots < kind.slots() * kind.cores();
    }

    /** Starts queued requests in free slots and updates the overload slowdown after requests have arrived or ended. */
    private void changed() {
        while (slotFree() && !waiting.isEmpty()) {
            begin(waiting.pollFirst());
            if (!up) {
                return;
            }
        }
        choke.see(world.time.now(), (double) (inSlots + waiting.size()) / kind.cores());
        reschedule();
    }

    private void begin(Job job) {
        if (kind.dropsExpired() && job.expires < world.time.now()) {
            job.attempt.answer(this, Outcome.OVERLOADED);
            return;
        }
        job.begun = world.time.now();
        job.leftMs *= memory.meet(job.request.key, world.time.now()) * slowKind.getOrDefault(job.request.kind, 1.0);
        job.wholeMs = job.leftMs;
        inSlots++;
        active.add(job);
        world.note(Trace.Kind.RAN, job.attempt.sidecar(), job.attempt.session(), index, job.request.number);
        job.request.ran(this);
        if (job.request.poison) {
            die();
            world.discovery.changed(this, true);
            world.time.after(Director.POISONED_MS, this::startAgain);
        }
    }

    private void startAgain() {
        if (!up && state == EndpointState.READY) {
            start();
        }
    }

    /** Accounts for the work done since the last change. */
    private void update() {
        long now = world.time.now();
        double doneMs = rate * VirtualTime.ms(now - updated);
        updated = now;
        if (doneMs > 0) {
            for (Job job : active) {
                job.leftMs -= doneMs;
            }
            warmth.worked(doneMs * active.size());
        }
    }

    private void reschedule() {
        cancelNext();
        long now = world.time.now();
        double warm = warmth.share(now);
        rate = active.isEmpty() || pauses > 0 || !up
                ? 0
                : speed * warm / (slowBy * choke.slower()) * Math.min(1, (double) kind.cores() / active.size());
        double waitMs = warm < 1 && !active.isEmpty() || choke.pending() ? REFRESH_MS : Double.POSITIVE_INFINITY;
        if (rate > 0) {
            double leastMs = Double.POSITIVE_INFINITY;
            for (Job job : active) {
                leastMs = Math.min(leastMs, job.leftMs);
            }
            waitMs = Math.min(waitMs, Math.max(0, leastMs) / rate);
        }
        if (waitMs < Double.POSITIVE_INFINITY && up) {
            next = world.time.after(waitMs, this::due);
        }
    }

    private void cancelNext() {
        if (next != null) {
            next.cancel();
            next = null;
        }
    }

    private void due() {
        next = null;
        update();
        for (int i = 0; i < active.size(); i++) {
            Job job = active.get(i);
            if (job.leftMs <= DONE_MS) {
                active.remove(i--);
                done(job);
            }
        }
        changed();
    }

    private void done(Job job) {
        if (job.attempt == null) {
            return;
        }
        inSlots--;
        double tookMs = VirtualTime.ms(world.time.now() - job.begun);
        serviceMs = serviceMs == 0 ? tookMs : serviceMs + NEWEST * (tookMs - serviceMs);
        world.meters.worked(job.wholeMs, job.attempt.over());
        world.note(Trace.Kind.DONE, job.attempt.sidecar(), job.attempt.session(), index, job.request.number);
        boolean lost = lossShare > 0 && luck.nextDouble() < lossShare;
        job.attempt.answer(this, lost ? Outcome.BROKEN : Outcome.SUCCESS);
    }

    // ---- State ----

    int index() {
        return index;
    }

    String id() {
        return id;
    }

    String address() {
        return address;
    }

    ServerKind kind() {
        return kind;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    /** The server kind as the endpoint list states it. */
    int kindNumber() {
        return kind.name().hashCode();
    }

    EndpointState state() {
        return state;
    }

    /** Time of the last start on the sidecars' clock; 0 means long ago. */
    double startedMs() {
        return startedMs;
    }

    int incarnation() {
        return incarnation;
    }

    boolean up() {
        return up;
    }

    boolean silent() {
        return silent;
    }

    boolean choked() {
        return choke.choked();
    }

    int held() {
        return up ? inSlots + waiting.size() : -1;
    }

    /** Current capacity as a share of the full capacity. */
    double capacity() {
        return !up || pauses > 0 ? 0 : warmth.share(world.time.now()) / (slowBy * choke.slower());
    }
}
