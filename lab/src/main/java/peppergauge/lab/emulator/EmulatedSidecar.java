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

    private static final double SWEEP_MS = 1_000;
    /** Share of a request's work that each response or rejection takes; the rest is spent on each attempt. */
    private static final double ANSWER_SHARE = 0.25;

    private final World world;
    private final Sabotage sabotage;
    private final int index;
    private final int zone;
    private final Settings settings;
    /** Endpoint list as last received; survives a crash. */
    private final Map<String, EndpointUpdate.EndpointAddress> known = new LinkedHashMap<>();
    /** Tick at which this process learned that a server leaves, by server. */
    private final Map<String, Long> leaving = new HashMap<>();

    private final Map<String, Try> sessionsById = new HashMap<>();
    private final Set<Try> open = new LinkedHashSet<>();
    private final double workMs;
    private int life;
    private boolean up;
    private SidecarLoop loop;
    private SidecarBackend backend;
    private RequestDispatcher sessions;
    private LoadBalancer module;
    /** Tick until which the process was last paused. */
    private long troubledUntil = -1;

    EmulatedSidecar(World world, Sabotage sabotage, int index) {
        this.world = world;
        this.sabotage = sabotage;
        this.index = index;
        this.zone = index % world.scenario.network().zones().size();
        this.workMs = Scenario.ms(world.scenario.sidecars().work());
        this.settings = world.figures.settings(index, zone);
    }

    // ---- The process ----

    void start() {
        life++;
        up = true;
        long seed = world.streams.number("module/" + name() + '/' + life);
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
                world.time,
                overload,
                sabotage,
                thrown -> world.rulebook.broken(
                        thrown instanceof AssertionError ? Rulebook.Rule.INVARIANT : Rulebook.Rule.BUG,
                        name() + " threw " + thrown));
        backend = new SidecarBackend(world, this, world.streams.of("ways/" + name() + '/' + life));
        List<EndpointUpdate.EndpointAddress> first = List.copyOf(known.values());
        module = watched(sabotage.instead(
                InvariantCheckingLoadBalancer.wrap(new AdaptiveLoadBalancer(settings, seed), settings),
                settings,
                seed));
        sessions = new RequestDispatcher(
                module,
                world.discovery.started(this, loop, loop.clock(), first, backend),
                loop.clock(),
                loop,
                overload,
                settings.classes(),
                world.figures.connectTimeoutMs);
        world.note(Trace.Kind.STARTED, index, -1, -1, life);
        sweepLater(life);
        listed(new EndpointUpdate(0, true, first));
    }

    /** The dispatcher continues after an exception of the load balancer; the emulator reports it as a violation. */
    private LoadBalancer watched(LoadBalancer module) {
        return (now, event, actions) -> {
            try {
                module.handle(now, event, actions);
            } catch (InvariantViolation broken) {
                world.rulebook.broken(Rulebook.Rule.INVARIANT, name() + ": " + broken.getMessage() + " at " + event);
            } catch (RuntimeException | StackOverflowError bug) {
                world.rulebook.broken(Rulebook.Rule.BUG, "the module of " + name() + " threw " + bug + " at " + event);
                throw bug;
            }
        };
    }

    private void sweepLater(int ofLife) {
        world.time.after(SWEEP_MS, () -> {
            if (life == ofLife && up) {
                backend.connections().sweep();
                sweepLater(ofLife);
            }
        });
    }

    void crash() {
        up = false;
        world.note(Trace.Kind.CRASHED, index, -1, -1, life);
        sessions.close();
        loop.die();
        backend.close();
        leaving.clear();
        List<Try> lost = new ArrayList<>(open);
        open.clear();
        sessionsById.clear();
        lost.forEach(Try::sidecarGone);
    }

    void pause(double ms) {
        if (up) {
            loop.pause(ms);
            troubledUntil = Math.max(troubledUntil, world.time.now() + VirtualTime.ticks(ms));
        }
    }

    boolean up() {
        return up;
    }

    /** Whether the process was paused at or after this tick. */
    boolean troubledSince(long tick) {
        return troubledUntil >= tick;
    }

    /** Runs the task on the event loop once no request is pending. */
    void whenIdle(Runnable task) {
        sessions.whenIdle(task);
    }

    // ---- Requests and endpoint updates ----

    void open(Try session, double remainingMs, boolean marked) {
        ClientRequest request = session.request;
        String id = Long.toString(session.number);
        sessionsById.put(id, session);
        open.add(session);
        world.note(Trace.Kind.ASKED, index, session.number, -1, request.kind);
        sessions.handle(
                new IncomingRequest(
                        id,
                        request.kind,
                        request.tenant,
                        remainingMs,
                        marked,
                        world.time.nowMs(),
                        new Message("GET", id, List.of(), NOTHING)),
                session);
    }

    private static final byte[] NOTHING = new byte[0];

    void left(Try session) {
        sessions.cancel(Long.toString(session.number), session);
        loop.execute(() -> over(session));
    }

    /** Spends the event loop's time on a response, or on an attempt. */
    void works(boolean answer) {
        loop.spend(workMs * (answer ? ANSWER_SHARE : 1 - ANSWER_SHARE));
    }

    /** Records that the sidecar knows that the client attempt has ended. */
    void over(Try session) {
        if (session.knownOver < 0) {
            session.knownOver = world.time.now();
        }
        open.remove(session);
        sessionsById.remove(Long.toString(session.number));
    }

    /** Returns the client attempt that is open according to the sidecar, or null. */
    Try session(String id) {
        return sessionsById.get(id);
    }

    void listed(EndpointUpdate table) {
        world.note(Trace.Kind.TOLD, index, -1, -1, table.version());
        // A server that is ready again may receive requests as soon as the update is processed; a server that leaves
        // counts as leaving only after that.
        loop.execute(() -> table.endpoints().stream()
                .filter(row -> row.endpoint().state() == EndpointState.READY)
                .forEach(row -> leaving.remove(row.endpoint().server())));
        sessions.onEndpointUpdate(table);
        loop.execute(() -> told(table));
    }

    /** Handles zone weights from the fleet service. */
    void steered(double[][] factors) {
        int then = life;
        if (up) {
            loop.execute(() -> {
                if (life == then) {
                    module.handle(world.time.nowMs(), new LoadBalancer.ZoneWeightsUpdated(factors), action -> {});
                }
            });
        }
    }

    void tableLost() {
        sessions.onWatchLost();
    }

    private void told(EndpointUpdate table) {
        Set<String> before = new LinkedHashSet<>(known.keySet());
        if (table.complete()) {
            known.clear();
        }
        for (EndpointUpdate.EndpointAddress row : table.endpoints()) {
            String id = row.endpoint().server();
            before.remove(id);
            if (row.endpoint().state() != EndpointState.READY) {
                leaving.putIfAbsent(id, world.time.now());
            }
            if (row.endpoint().state() == EndpointState.REMOVED) {
                known.remove(id);
            } else {
                known.put(id, row);
            }
        }
        if (table.complete()) {
            before.forEach(id -> leaving.putIfAbsent(id, world.time.now()));
        }
    }

    long leavingSince(String server) {
        return leaving.getOrDefault(server, -1L);
    }

    boolean knowsStartOf(BackendServer server) {
        EndpointUpdate.EndpointAddress row = known.get(server.id());
        // A start time that discovery reports may be later than the real one.
        return row != null && row.endpoint().startedMs() >= server.startedMs();
    }

    /** Sets the initial endpoint list. */
    void knows(List<EndpointUpdate.EndpointAddress> rows) {
        rows.forEach(row -> known.put(row.endpoint().server(), row));
    }

    /** Resets the connections to a server after the link delay. */
    void reset(BackendServer server) {
        if (up) {
            SidecarBackend then = backend;
            world.links.carry(
                    server.zone(),
                    zone,
                    then.luck(),
                    () -> then.onServerRemoved(new Backend.Server(server.id(), server.address())));
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

    int life() {
        return life;
    }

    String name() {
        return "sidecar-" + (index + 1);
    }
}
