package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.invariant.InvariantCheckingLoadBalancer;
import peppergauge.invariant.InvariantViolation;
import peppergauge.lab.scenario.Scenario;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Backend;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.PendingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.sockets.EventLoop;

/**
 * A sidecar over all restarts of its process. Request dispatcher, load balancer and overload controller are the real
 * ones; clients, backend connections and the event loop are emulated.
 */
final class EmulatedSidecar {

    private static final double IDLE_CHECK_INTERVAL_MS = 1_000;
    /** Share of a request's work that each response or rejection takes; the rest is spent on each attempt. */
    private static final double RESPONSE_WORK_SHARE = 0.25;

    private final EmulationContext context;
    private final PlantedFault faults;
    private final int index;
    private final int zone;
    private final Settings settings;
    /** Endpoint list as last received; survives a crash. */
    private final Map<String, EndpointUpdate.EndpointAddress> known = new LinkedHashMap<>();
    /** Tick at which this process learned that a server leaves, by server. */
    private final Map<String, Long> leaving = new HashMap<>();

    private final Map<String, ClientAttempt> attemptsById = new HashMap<>();
    private final Set<ClientAttempt> open = new LinkedHashSet<>();
    private final double workMs;
    private int processNumber;
    private boolean up;
    private SidecarLoop loop;
    private SidecarBackend backend;
    private RequestDispatcher dispatcher;
    private LoadBalancer loadBalancer;
    /** Tick until which the process was last paused. */
    private long pausedUntil = -1;

    EmulatedSidecar(EmulationContext context, PlantedFault faults, int index) {
        this.context = context;
        this.faults = faults;
        this.index = index;
        this.zone = index % context.scenario.network().zones().size();
        this.workMs = Scenario.toMillis(context.scenario.sidecars().work());
        this.settings = context.settings.settings(index, zone);
    }

    // ---- The process ----

    void start() {
        processNumber++;
        up = true;
        long seed = context.streams.number("module/" + name() + '/' + processNumber);
        LoadBalancer.Limits limits = settings.limits();
        OverloadController<Object, PendingRequest> overload = new OverloadController<>(OverloadConfig.of(
                settings.classes().stream()
                        .map(LoadBalancer.RequestClass::priorityWeight)
                        .toList(),
                settings.overQuotaWeight(),
                limits.retryAfter(),
                limits.maxRetryAfterMs(),
                EventLoop.SELECT_INTERVAL_MS,
                seed));
        loop = new SidecarLoop(
                context.time,
                overload,
                faults,
                thrown -> context.rulebook.report(
                        thrown instanceof AssertionError ? Rulebook.Rule.INVARIANT : Rulebook.Rule.BUG,
                        name() + " threw " + thrown));
        backend = new SidecarBackend(context, this, context.streams.of("ways/" + name() + '/' + processNumber));
        List<EndpointUpdate.EndpointAddress> first = List.copyOf(known.values());
        loadBalancer = reportingExceptions(faults.wrap(
                InvariantCheckingLoadBalancer.wrap(new AdaptiveLoadBalancer(settings, seed), settings),
                settings,
                seed));
        dispatcher = new RequestDispatcher(
                loadBalancer,
                context.discovery.wrapBackend(this, loop, loop.clock(), first, backend),
                loop.clock(),
                loop,
                overload,
                settings.classes(),
                context.settings.connectTimeoutMs);
        context.note(Trace.Kind.STARTED, index, -1, -1, processNumber);
        scheduleIdleCheck(processNumber);
        onEndpointUpdate(new EndpointUpdate(0, true, first));
    }

    /** The dispatcher continues after an exception of the load balancer; the emulator reports it as a violation. */
    private LoadBalancer reportingExceptions(LoadBalancer loadBalancer) {
        return (now, event, actions) -> {
            try {
                loadBalancer.handle(now, event, actions);
            } catch (InvariantViolation broken) {
                context.rulebook.report(Rulebook.Rule.INVARIANT, name() + ": " + broken.getMessage() + " at " + event);
            } catch (RuntimeException | StackOverflowError bug) {
                context.rulebook.report(
                        Rulebook.Rule.BUG, "the load balancer of " + name() + " threw " + bug + " at " + event);
                throw bug;
            }
        };
    }

    private void scheduleIdleCheck(int ofProcess) {
        context.time.after(IDLE_CHECK_INTERVAL_MS, () -> {
            if (processNumber == ofProcess && up) {
                backend.connections().closeExpired();
                scheduleIdleCheck(ofProcess);
            }
        });
    }

    void crash() {
        up = false;
        context.note(Trace.Kind.CRASHED, index, -1, -1, processNumber);
        dispatcher.close();
        loop.stop();
        backend.close();
        leaving.clear();
        List<ClientAttempt> lost = new ArrayList<>(open);
        open.clear();
        attemptsById.clear();
        lost.forEach(ClientAttempt::onSidecarCrashed);
    }

    void pause(double ms) {
        if (up) {
            loop.pause(ms);
            pausedUntil = Math.max(pausedUntil, context.time.now() + VirtualTime.ticks(ms));
        }
    }

    boolean up() {
        return up;
    }

    /** Whether the process was paused at or after this tick. */
    boolean pausedSince(long tick) {
        return pausedUntil >= tick;
    }

    /** Runs the task on the event loop once no request is pending. */
    void whenIdle(Runnable task) {
        dispatcher.whenIdle(task);
    }

    // ---- Requests and endpoint updates ----

    void open(ClientAttempt attempt, double remainingMs, boolean marked) {
        ClientRequest request = attempt.request;
        String id = Long.toString(attempt.number);
        attemptsById.put(id, attempt);
        open.add(attempt);
        context.note(Trace.Kind.ASKED, index, attempt.number, -1, request.kind);
        dispatcher.handle(
                new IncomingRequest(
                        id,
                        request.kind,
                        request.tenant,
                        remainingMs,
                        marked,
                        context.time.nowMs(),
                        new Message("GET", id, List.of(), EMPTY_BODY)),
                attempt);
    }

    private static final byte[] EMPTY_BODY = new byte[0];

    void cancel(ClientAttempt attempt) {
        dispatcher.cancel(Long.toString(attempt.number), attempt);
        loop.execute(() -> onEnded(attempt));
    }

    /** Spends the event loop's time on a response, or on an attempt. */
    void spendWork(boolean response) {
        loop.spend(workMs * (response ? RESPONSE_WORK_SHARE : 1 - RESPONSE_WORK_SHARE));
    }

    /** Records that the sidecar knows that the client attempt has ended. */
    void onEnded(ClientAttempt attempt) {
        if (attempt.endedTick < 0) {
            attempt.endedTick = context.time.now();
        }
        open.remove(attempt);
        attemptsById.remove(Long.toString(attempt.number));
    }

    /** Returns the client attempt that is open according to the sidecar, or null. */
    ClientAttempt attempt(String id) {
        return attemptsById.get(id);
    }

    void onEndpointUpdate(EndpointUpdate update) {
        context.note(Trace.Kind.TOLD, index, -1, -1, update.version());
        // A server that is ready again may receive requests as soon as the update is processed; a server that leaves
        // counts as leaving only after that.
        loop.execute(() -> update.endpoints().stream()
                .filter(address -> address.endpoint().state() == EndpointState.READY)
                .forEach(address -> leaving.remove(address.endpoint().server())));
        dispatcher.onEndpointUpdate(update);
        loop.execute(() -> updateKnownEndpoints(update));
    }

    /** Handles zone weights from the fleet service. */
    void onZoneWeights(double[][] factors) {
        int current = processNumber;
        if (up) {
            loop.execute(() -> {
                if (processNumber == current) {
                    loadBalancer.handle(
                            context.time.nowMs(), new LoadBalancer.ZoneWeightsUpdated(factors), action -> {});
                }
            });
        }
    }

    void onWatchLost() {
        dispatcher.onWatchLost();
    }

    private void updateKnownEndpoints(EndpointUpdate update) {
        Set<String> before = new LinkedHashSet<>(known.keySet());
        if (update.complete()) {
            known.clear();
        }
        for (EndpointUpdate.EndpointAddress address : update.endpoints()) {
            String id = address.endpoint().server();
            before.remove(id);
            if (address.endpoint().state() != EndpointState.READY) {
                leaving.putIfAbsent(id, context.time.now());
            }
            if (address.endpoint().state() == EndpointState.REMOVED) {
                known.remove(id);
            } else {
                known.put(id, address);
            }
        }
        if (update.complete()) {
            before.forEach(id -> leaving.putIfAbsent(id, context.time.now()));
        }
    }

    long leavingSince(String server) {
        return leaving.getOrDefault(server, -1L);
    }

    boolean knowsStartOf(BackendServer server) {
        EndpointUpdate.EndpointAddress address = known.get(server.id());
        // A start time that discovery reports may be later than the real one.
        return address != null && address.endpoint().startedMs() >= server.startedMs();
    }

    /** Sets the initial endpoint list. */
    void setInitialEndpoints(List<EndpointUpdate.EndpointAddress> addresses) {
        addresses.forEach(address -> known.put(address.endpoint().server(), address));
    }

    /** Resets the connections to a server after the link delay. */
    void reset(BackendServer server) {
        if (up) {
            SidecarBackend current = backend;
            context.network.transmit(
                    server.zone(),
                    zone,
                    current.random(),
                    () -> current.onServerRemoved(new Backend.Server(server.id(), server.address())));
        }
    }

    void execute(Runnable task) {
        loop.execute(task);
    }

    int index() {
        return index;
    }

    int zone() {
        return zone;
    }

    int processNumber() {
        return processNumber;
    }

    String name() {
        return "sidecar-" + (index + 1);
    }
}
