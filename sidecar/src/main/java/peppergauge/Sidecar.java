package peppergauge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import peppergauge.backend.HttpBackend;
import peppergauge.coldstart.ReadinessPolicy;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.config.Config;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.discovery.EndpointUpdateReader;
import peppergauge.discovery.EndpointWatch;
import peppergauge.frontend.HttpFrontend;
import peppergauge.frontend.RequestClassifier;
import peppergauge.invariant.CheckedBalancer;
import peppergauge.log.Log;
import peppergauge.overload.BackgroundTask;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.LargeBodies;
import peppergauge.request.PendingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.settings.SettingsNames;
import peppergauge.settings.SettingsReader;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;

/** Wires one sidecar together, starts it and winds it down. */
public final class Sidecar {

    /** Clients still connect for a while after SIGTERM; what is not accepted by then would be lost. */
    private static final long KEEP_ACCEPTING_MS = 700;

    private static final long LEAST_DEADLINE_MS = 3_000;
    /** Before the time at which the program may be killed, for answers on their way. */
    private static final long END_MARGIN_MS = 100;
    /** Descriptors of the program itself: files, selectors, listener, discovery (24 counted), and a margin. */
    private static final int OWN_SOCKETS = 40;

    private static final long LONGEST_REHEARSAL_MS = 1_000;

    private volatile Config config;
    private final Clock clock = new Clock();
    private final OverloadController<EvictableConnection, PendingRequest> overload;
    /** Whether there is time for a rehearsal beside clients' sessions. */
    private volatile boolean calm = true;

    private final EventLoop loop = new EventLoop();
    private final SidecarExtension additions;
    private final SidecarExtension.Context parts;
    private final RequestDispatcher sessions;
    private final RequestHandler intake;
    private final LargeBodies bodies;
    private final HttpFrontend frontend;
    private final Rehearsal rehearsal;
    private final EndpointWatch watch;
    private final EndpointUpdate known;
    private final ReadinessPolicy readiness;
    /** An empty line is: nothing has changed. */
    private volatile boolean isNews = true;

    private final CountDownLatch firstNews = new CountDownLatch(1);
    private final long longestDeadlineMs;

    /** The platform's. */
    Sidecar(Config config) {
        this(config, SidecarExtension.NONE);
    }

    /** One to which an installation adds; an {@link IllegalArgumentException} says what of the settings is unusable. */
    public Sidecar(Config config, SidecarExtension additions) {
        this.config = config;
        this.additions = additions;
        Settings settings = SettingsReader.read(config.settings());
        SettingsNames names = SettingsNames.read(config.settings());
        Limits limits = settings.limits();
        int mostConnections = (config.maxSockets() - OWN_SOCKETS) / 2;
        double connectTimeoutMs = connectTimeoutMs(config.settings());
        overload = new OverloadController<>(overload(settings, config.seed()));
        ClientConnections clients = new ClientConnections(loop, mostConnections, clock, overload);
        parts = new SidecarExtension.Context(config, settings, names, clock, loop, overload, clients);
        bodies = additions.largeBodies(parts);
        HttpBackend http = new HttpBackend(
                clock,
                loop,
                overload::likelyArrivalMs,
                settings.loadFields(),
                connectTimeoutMs,
                limits.connectionIdleMs(),
                mostConnections,
                bodies);
        // What bounds connecting also bounds a probe: both are answered without waiting for other work.
        sessions = new RequestDispatcher(
                additions.wrapLoadBalancer(module(settings), parts),
                additions.wrapBackend(http, parts),
                clock,
                loop,
                overload,
                settings.classes(),
                connectTimeoutMs);
        intake = additions.wrapRequestHandler(sessions, parts);
        frontend = new HttpFrontend(
                new RequestClassifier(names, settings.classes()), intake, clock, loop, overload, clients, bodies);
        rehearsal = new Rehearsal(
                config, settings, names, frontend, http, clock, loop, () -> calm || !frontend.hasReceivedRequest());
        EndpointUpdateReader reader = new EndpointUpdateReader(names.zones());
        known = reader.read(config.knownEndpoints());
        StartupPolicy start = additions.startupPolicy(
                StartupPolicy.forLocalAgent(config.instanceSeed(), SettingsReader.drainGraceMs(config.settings())),
                parts);
        readiness = start.readiness();
        watch = new EndpointWatch(
                config.discovery(),
                reader,
                known.version(),
                new EndpointWatch.Listener() {
                    @Override
                    public void onEndpointUpdate(EndpointUpdate table) {
                        sessions.onEndpointUpdate(table);
                        long ready = table.endpoints().stream()
                                .filter(row -> row.endpoint().state() == EndpointState.READY)
                                .count();
                        isNews = readiness.isReadyAfter(
                                table.complete(), (int) ready, known.endpoints().size());
                    }

                    @Override
                    public void onWatchAlive() {
                        if (isNews) {
                            firstNews.countDown();
                        }
                    }

                    @Override
                    public void onWatchLost() {
                        sessions.onWatchLost();
                    }
                },
                loop,
                start.pollPolicies());
        longestDeadlineMs = (long) Math.max(
                LEAST_DEADLINE_MS,
                settings.classes().stream()
                        .mapToDouble(kind -> kind.deadlineMs())
                        .max()
                        .orElse(0));
    }

    private LoadBalancer module(Settings settings) {
        LoadBalancer module = new AdaptiveLoadBalancer(settings, config.seed());
        // Under -ea alone: without it not even the class is loaded.
        assert (module = CheckedBalancer.around(module, settings)) != null;
        return module;
    }

    private static double connectTimeoutMs(Map<String, Object> settings) {
        return settings.get("limits") instanceof Map<?, ?> limits
                        && limits.get("connectTimeoutMs") instanceof Number number
                ? number.doubleValue()
                : 1_000;
    }

    /** What the program's own overload control is told: what the settings say of worth, and how the loop waits. */
    static OverloadConfig overload(Settings settings, long seed) {
        Limits limits = settings.limits();
        return OverloadConfig.of(
                settings.classes().stream().map(RequestClass::priorityWeight).toList(),
                settings.overQuotaWeight(),
                limits.retryAfter(),
                limits.maxRetryAfterMs(),
                EventLoop.SELECT_INTERVAL_MS,
                seed);
    }

    /** Tells the overload control of the loop's rounds. */
    private EventLoop.RoundListener rounds() {
        return new EventLoop.RoundListener() {
            @Override
            public void selectReturned() {
                overload.onSelectReturned(clock.nowMs());
                calm = overload.isAllowed(clock.nowMs(), BackgroundTask.JVM_WARM_UP);
                Log.fewer(!overload.isAllowed(clock.nowMs(), BackgroundTask.FULL_LOGGING));
            }

            @Override
            public void roundEnded(boolean read) {
                overload.onRoundEnded(clock.nowMs(), read);
            }
        };
    }

    /** Returns once it is ready; a failure leaves threads behind, for the program ends then. */
    public void start() throws IOException, InterruptedException {
        loop.start(rounds(), parts.clients());
        sessions.onEndpointUpdate(new EndpointUpdate(known.version(), true, known.endpoints()));
        if (additions.watchesDiscovery()) {
            watch.start();
            // What is known from before may be old: a session that came sooner would go to servers that leave by now.
            firstNews.await((long) readiness.timeoutMs(known.endpoints().size()), TimeUnit.MILLISECONDS);
        }
        frontend.start(config.listen());
        additions.onStarting(intake, sessions, parts);
        int rehearsed = rehearsal.run(address(), LONGEST_REHEARSAL_MS);
        frontend.setReady();
        Log.line(
                "start",
                config.name() + " serves on " + address() + " with "
                        + known.endpoints().size() + " backend servers known, " + rehearsed + " requests rehearsed");
    }

    /** Rereads the configuration: discovery may be elsewhere now. What cannot be used changes nothing. */
    public synchronized void reload(Map<String, String> environment) {
        try {
            Config fresh = Config.reload(environment);
            additions.onReload(environment);
            moveTo(fresh);
        } catch (IllegalArgumentException unusable) {
            Log.line("reload", "the configuration stays as it was: " + unusable.getMessage());
        }
    }

    /** Watches discovery where this says; all else of it needs a restart. */
    public synchronized void moveTo(Config fresh) {
        if (fresh.discovery().equals(config.discovery()) || !additions.watchesDiscovery()) {
            Log.line("reload", "discovery stays at " + config.discovery());
        } else {
            Log.line("reload", "discovery moves from " + config.discovery() + " to " + fresh.discovery());
            watch.moveTo(fresh.discovery());
        }
        config = fresh;
    }

    public InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Keeps accepting, then closes the listener and what is idle, and ends when no client's connection is open: each is
     * closed once nothing is owed on it. Whether requests are open says less: one that has just been read is on its way
     * to where they are counted.
     */
    public void windDown() {
        Log.line("stop", config.name() + " was told to end");
        frontend.closeAfterResponses();
        try {
            TimeUnit.MILLISECONDS.sleep(KEEP_ACCEPTING_MS);
            stopListening();
            additions.onStopping();
            frontend.closeIdle(clock.nowMs() + longestDeadlineMs - END_MARGIN_MS);
            long untilNs = awaitClients();
            // Calls that nobody waits for outlive their client's connection.
            CountDownLatch idle = new CountDownLatch(1);
            sessions.whenIdle(idle::countDown);
            boolean empty = idle.await(untilNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            Log.line("stop", empty ? "all sessions are answered" : "sessions were open past the longest deadline");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        stopNow();
    }

    /**
     * Waits until no client's connection is open, for the longest deadline; where long bodies are under way, for what
     * they may take to finish and the longest deadline after it. One may begin at any time, as a request that was half
     * read turns out to be long.
     *
     * @return until when what is left may be waited for, by {@link System#nanoTime}
     */
    private long awaitClients() throws InterruptedException {
        CountDownLatch clientsGone = new CountDownLatch(1);
        frontend.whenAllClosed(clientsGone::countDown);
        long bodiesUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) bodies.shutdownGraceMs());
        long untilNs;
        boolean gone;
        do {
            awaitBodies(bodiesUntilNs);
            untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestDeadlineMs);
            gone = clientsGone.await(untilNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        } while (!gone && System.nanoTime() < bodiesUntilNs && !awaitBodies(System.nanoTime()));
        return untilNs;
    }

    /** Whether no long body was under way by then. */
    private boolean awaitBodies(long untilNs) throws InterruptedException {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch idle = new CountDownLatch(1);
        loop.execute(() -> {
            bodies.whenIdle(idle::countDown);
            asked.countDown();
        });
        asked.await(longestDeadlineMs, TimeUnit.MILLISECONDS);
        return idle.await(untilNs - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    /** Closes everything, whatever is open. */
    public void stopNow() {
        watch.close();
        sessions.close();
        loop.close();
        additions.onStopped();
    }

    private void stopListening() {
        try {
            frontend.stopListening();
        } catch (IOException failed) {
            Log.line("stop", "the listener did not close: " + failed.getMessage());
        }
    }
}
