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
import peppergauge.lab.scenario.ServerGroup;

/**
 * One backend server. Requests in its slots share its cores evenly, further requests wait in a queue, and requests that
 * find the queue full are rejected. Work that has begun is completed even if no client waits for it; only the end of
 * the process cancels it. A model in virtual time; those of the packages soak and standin listen on sockets.
 */
final class BackendServer {

    /** Interval at which the capacity is recomputed while it changes with time alone. */
    private static final double REFRESH_MS = 50;

    private static final double COMPLETION_TOLERANCE_MS = 1e-6;
    /** Response time of an error that requires no work. */
    private static final double FAST_ERROR_MS = 0.5;
    /** Weight of the newest sample in the moving average of the reported service time. */
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    private final EmulationContext context;
    private final int index;
    private final String id;
    private final String address;
    private final ServerGroup serverGroup;
    private final int zone;
    private final int cell;
    private final double speed;
    private final UniformRandomProvider random;
    private final WarmUp warmUp;
    private final OverloadSlowdown slowdown;
    private final KeyCache keyCache;
    private final ColdServerBudget budget;
    private final List<ServerJob> active = new ArrayList<>();
    private final ArrayDeque<ServerJob> waiting = new ArrayDeque<>();
    /** Attempts that reached the machine while it was unresponsive; their connections are reset when it recovers. */
    private final List<BackendAttempt> unanswered = new ArrayList<>();

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
    private double meanServiceMs;
    private double slowFactor = 1;
    private final Map<Integer, Double> slowFactorByRequestClass = new HashMap<>();
    private int pauses;
    private double failShare;
    private double lossShare;

    BackendServer(
            EmulationContext context,
            int index,
            String id,
            String address,
            ServerGroup serverGroup,
            int zone,
            int cell) {
        this.context = context;
        this.index = index;
        this.id = id;
        this.address = address;
        this.serverGroup = serverGroup;
        this.zone = zone;
        this.cell = cell;
        random = context.streams.of("server/" + id);
        speed = serverGroup.speed() * (1 + serverGroup.speedSpread() * (2 * random.nextDouble() - 1));
        warmUp = new WarmUp(serverGroup, serverGroup.cores() * speed);
        slowdown = new OverloadSlowdown(serverGroup);
        keyCache = new KeyCache(serverGroup);
        budget = context.coldBudgets.apply(this);
        if (!serverGroup.pauseEvery().isZero()) {
            nextPause(context.streams.of("pause/" + id));
        }
    }

    private void nextPause(UniformRandomProvider random) {
        context.time.after(Scenario.toMillis(serverGroup.pauseEvery()) * RandomStreams.exponential(random), () -> {
            pause(Scenario.toMillis(serverGroup.pauseLength()));
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
        startedMs = context.time.nowMs();
        warmUp.start(context.time.now());
        slowdown.start();
        keyCache.clear();
        budget.start();
        updated = context.time.now();
        rate = 0;
        context.note(Trace.Kind.STARTED, -1, -1, index, incarnation);
        context.discovery.onServerChanged(this, false);
    }

    /** Ends the process with its unfinished work; the machine resets the process's connections. */
    void terminate() {
        boolean wasSilent = silent;
        List<BackendAttempt> unfinished = end();
        context.note(Trace.Kind.STATE, -1, -1, index, 0);
        unfinished.forEach(attempt -> attempt.answer(this, Outcome.BROKEN));
        if (!wasSilent) {
            context.sidecars.forEach(sidecar -> sidecar.reset(this));
        }
    }

    /** Makes the machine unresponsive: connections stay open, and no response is sent. */
    void vanish() {
        List<BackendAttempt> unfinished = end();
        silent = true;
        unanswered.addAll(unfinished);
        context.note(Trace.Kind.STATE, -1, -1, index, 1);
    }

    /** Restarts the machine; connections from before are reset. */
    void recover() {
        List<BackendAttempt> held = List.copyOf(unanswered);
        unanswered.clear();
        held.forEach(attempt -> attempt.answer(this, Outcome.BROKEN));
        context.sidecars.forEach(sidecar -> sidecar.reset(this));
        start();
    }

    private List<BackendAttempt> end() {
        update();
        List<BackendAttempt> unfinished = new ArrayList<>(unanswered);
        active.stream().filter(job -> job.attempt != null).forEach(job -> {
            unfinished.add(job.attempt);
            context.meters.addWork(job.totalWorkMs - job.remainingWorkMs, true);
        });
        waiting.forEach(job -> unfinished.add(job.attempt));
        unanswered.clear();
        active.clear();
        waiting.clear();
        inSlots = 0;
        up = false;
        cancelNext();
        return unfinished;
    }

    void drain() {
        state = EndpointState.DRAINING;
        context.note(Trace.Kind.STATE, -1, -1, index, 2);
        context.discovery.onServerChanged(this, false);
    }

    /** Ends the process by a graceful shutdown and removes the server. */
    void leave() {
        state = EndpointState.REMOVED;
        if (up) {
            terminate();
        }
        context.discovery.onServerChanged(this, false);
    }

    // ---- Incidents ----

    void slow(double times) {
        update();
        slowFactor *= times;
        reschedule();
    }

    /** Multiplies the work of one request class; requests in service are not affected. */
    void slow(int requestClass, double times) {
        slowFactorByRequestClass.merge(requestClass, times, (was, is) -> was * is);
    }

    void pause(double ms) {
        update();
        pauses++;
        reschedule();
        context.time.after(ms, () -> {
            update();
            pauses--;
            reschedule();
        });
    }

    void fail(double share) {
        failShare = share;
    }

    void loseResponses(double share) {
        lossShare = share;
    }

    // ---- Connections, requests, probes ----

    /** Returns whether a new connection is accepted; the handshake of an accepted connection costs work. */
    boolean connect() {
        if (!up || connections >= serverGroup.connections() * serverGroup.cores()) {
            return false;
        }
        connections++;
        addBackgroundWork(Scenario.toMillis(serverGroup.connectionWork()));
        return true;
    }

    void disconnected(int ofIncarnation) {
        if (ofIncarnation == incarnation) {
            connections--;
        }
    }

    /** Handles a request that has arrived completely. */
    void arrive(ServerJob job, boolean informed) {
        context.note(Trace.Kind.REACHED, job.attempt.sidecar(), job.attempt.clientAttemptNumber(), index, -1);
        update();
        double share = warmUp.share(context.time.now());
        if (share < 1 && budget.sent(context.time.now(), job, informed, serverGroup.cores() * speed * share)) {
            failUnderOverload(job);
        } else if (random.nextDouble() < Math.max(failShare, serverGroup.errors())) {
            context.time.after(FAST_ERROR_MS, () -> job.attempt.answer(this, Outcome.ERROR));
        } else if (waiting.size() >= serverGroup.room() * serverGroup.cores() && !slotFree()) {
            job.attempt.answer(this, Outcome.OVERLOADED);
        } else {
            waiting.addLast(job);
            changed();
        }
    }

    private void failUnderOverload(ServerJob last) {
        boolean causedByInformedSidecars = budget.causedByInformedSidecars();
        context.meters.countColdServerFailure();
        terminate();
        last.attempt.answer(this, Outcome.BROKEN);
        context.discovery.onServerChanged(this, true);
        if (causedByInformedSidecars) {
            context.rulebook.report(
                    Rulebook.Rule.COLD,
                    id + " was cold and was sent more than " + context.settings.fallMultiple
                            + " times its present capacity");
        }
    }

    /** The load report in response to a probe; null if the server is down. */
    double[] probed() {
        if (!up) {
            return null;
        }
        addBackgroundWork(Scenario.toMillis(serverGroup.probeWork()));
        return load();
    }

    private void addBackgroundWork(double workMs) {
        if (workMs > 0) {
            update();
            active.add(new ServerJob(workMs));
            reschedule();
        }
    }

    void holdUnanswered(BackendAttempt attempt) {
        unanswered.add(attempt);
    }

    /** Load report: requests in flight, requests queued, and service time in ms. */
    double[] load() {
        return new double[] {inSlots + waiting.size(), waiting.size(), meanServiceMs};
    }

    // ---- Work ----

    private boolean slotFree() {
        return inSlots < serverGroup.slots() * serverGroup.cores();
    }

    /** Starts queued requests in free slots and updates the overload slowdown after requests have arrived or ended. */
    private void changed() {
        while (slotFree() && !waiting.isEmpty()) {
            begin(waiting.pollFirst());
            if (!up) {
                return;
            }
        }
        slowdown.update(context.time.now(), (double) (inSlots + waiting.size()) / serverGroup.cores());
        reschedule();
    }

    private void begin(ServerJob job) {
        if (serverGroup.dropsExpired() && job.expires < context.time.now()) {
            job.attempt.answer(this, Outcome.OVERLOADED);
            return;
        }
        job.startedTick = context.time.now();
        job.remainingWorkMs *= keyCache.access(job.request.key, context.time.now())
                * slowFactorByRequestClass.getOrDefault(job.request.kind, 1.0);
        job.totalWorkMs = job.remainingWorkMs;
        inSlots++;
        active.add(job);
        context.note(
                Trace.Kind.RAN, job.attempt.sidecar(), job.attempt.clientAttemptNumber(), index, job.request.number);
        job.request.recordExecution(this);
        if (job.request.poison) {
            terminate();
            context.discovery.onServerChanged(this, true);
            context.time.after(IncidentRunner.POISONED_RESTART_MS, this::restart);
        }
    }

    private void restart() {
        if (!up && state == EndpointState.READY) {
            start();
        }
    }

    /** Accounts for the work done since the last change. */
    private void update() {
        long now = context.time.now();
        double doneMs = rate * VirtualTime.ms(now - updated);
        updated = now;
        if (doneMs > 0) {
            for (ServerJob job : active) {
                job.remainingWorkMs -= doneMs;
            }
            warmUp.addWork(doneMs * active.size());
        }
    }

    private void reschedule() {
        cancelNext();
        long now = context.time.now();
        double warm = warmUp.share(now);
        rate = active.isEmpty() || pauses > 0 || !up
                ? 0
                : speed
                        * warm
                        / (slowFactor * slowdown.slowdownFactor())
                        * Math.min(1, (double) serverGroup.cores() / active.size());
        double waitMs = warm < 1 && !active.isEmpty() || slowdown.pending() ? REFRESH_MS : Double.POSITIVE_INFINITY;
        if (rate > 0) {
            double leastMs = Double.POSITIVE_INFINITY;
            for (ServerJob job : active) {
                leastMs = Math.min(leastMs, job.remainingWorkMs);
            }
            waitMs = Math.min(waitMs, Math.max(0, leastMs) / rate);
        }
        if (waitMs < Double.POSITIVE_INFINITY && up) {
            next = context.time.after(waitMs, this::onWorkDue);
        }
    }

    private void cancelNext() {
        if (next != null) {
            next.cancel();
            next = null;
        }
    }

    private void onWorkDue() {
        next = null;
        update();
        for (int i = 0; i < active.size(); i++) {
            ServerJob job = active.get(i);
            if (job.remainingWorkMs <= COMPLETION_TOLERANCE_MS) {
                active.remove(i--);
                done(job);
            }
        }
        changed();
    }

    private void done(ServerJob job) {
        if (job.attempt == null) {
            return;
        }
        inSlots--;
        double tookMs = VirtualTime.ms(context.time.now() - job.startedTick);
        meanServiceMs = meanServiceMs == 0 ? tookMs : meanServiceMs + SERVICE_TIME_SMOOTHING * (tookMs - meanServiceMs);
        context.meters.addWork(job.totalWorkMs, job.attempt.over());
        context.note(
                Trace.Kind.DONE, job.attempt.sidecar(), job.attempt.clientAttemptNumber(), index, job.request.number);
        boolean lost = lossShare > 0 && random.nextDouble() < lossShare;
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

    ServerGroup serverGroup() {
        return serverGroup;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    /** The server group as the endpoint list states it. */
    int serverGroupNumber() {
        return serverGroup.name().hashCode();
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

    boolean isSlowed() {
        return slowdown.isSlowed();
    }

    int requestsHeld() {
        return up ? inSlots + waiting.size() : -1;
    }

    /** Current capacity as a share of the full capacity. */
    double capacity() {
        return !up || pauses > 0 ? 0 : warmUp.share(context.time.now()) / (slowFactor * slowdown.slowdownFactor());
    }
}
