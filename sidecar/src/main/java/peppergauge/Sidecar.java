package peppergauge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import peppergauge.backend.ConnectionLimits;
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
import peppergauge.invariant.InvariantCheckingLoadBalancer;
import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
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
import peppergauge.sockets.LoopCounters;

/** Composes one sidecar, starts it and shuts it down. The public methods may be called from any thread. */
public final class Sidecar {

    /** Time for which connections are still accepted after SIGTERM. */
    private static final long ACCEPT_GRACE_MS = 700;

    private static final long MIN_LONGEST_DEADLINE_MS = 3_000;
    /** Time reserved for the last responses before the process may be killed. */
    private static final long SHUTDOWN_MARGIN_MS = 100;
    /** File descriptors that are not available for connections: for files, selectors, the listener and discovery. */
    private static final int RESERVED_DESCRIPTORS = 40;

    private static final long MAX_WARM_UP_MS = 1_000;
    /** Maximum number of connections of the warm-up to this program's own listener. */
    private static final int MAX_WARM_UP_CONNECTIONS = 16;
    /**
     * Time after a response for which its connection to a backend server is not used for another request. Backend
     * servers may send a second copy of a response some milliseconds late.
     */
    static final double QUIET_PERIOD_MS = 20;

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
    /** Share of the heap for requests and responses; the rest is for connections, unfinished heads and the servers. */
    private static final double MESSAGE_MEMORY_SHARE = 0.25;

    private volatile Config config;
    private final Clock clock = new Clock();
    private final OverloadController<EvictableConnection, PendingRequest> overload;
    /** Whether the event loop has capacity for the warm-up in addition to clients' requests. */
    private volatile boolean mayWarmUp = true;

    private final EventLoop loop = new EventLoop();
    private final SidecarExtension extension;
    private final SidecarExtension.Context context;
    private final RequestDispatcher dispatcher;
    private final RequestHandler requestHandler;
    private final LargeBodies largeBodies;
    private final MessageMemory messageMemory = MessageMemory.ofHeap(MESSAGE_MEMORY_SHARE);
    private final HttpFrontend frontend;
    private final JvmWarmUp warmUp;
    private final EndpointWatch watch;
    private final EndpointUpdate initialEndpoints;
    private final ReadinessPolicy readiness;
    /** Whether the last endpoint update is sufficient to become ready; true before the first update. */
    private volatile boolean isUpdateSufficient = true;

    private final CountDownLatch initialUpdateReceived = new CountDownLatch(1);
    private final long longestDeadlineMs;

    /** Creates a sidecar without an extension. */
    Sidecar(Config config) {
        this(config, SidecarExtension.NONE);
    }

    /**
     * Creates a sidecar with an extension.
     *
     * @throws IllegalArgumentException if the settings are not usable
     */
    public Sidecar(Config config, SidecarExtension extension) {
        this.config = config;
        this.extension = extension;
        Settings settings = SettingsReader.read(config.settings());
        SettingsNames names = SettingsNames.read(config.settings());
        int maxConnections = (config.maxSockets() - RESERVED_DESCRIPTORS) / 2;
        double connectTimeoutMs = connectTimeoutMs(config.settings());
        overload = new OverloadController<>(overloadConfig(settings, config.seed()));
        ClientConnections clients = new ClientConnections(loop, maxConnections, clock, overload);
        context = new SidecarExtension.Context(config, settings, names, clock, loop, overload, clients, messageMemory);
        largeBodies = extension.largeBodies(context);
        HttpBackend httpBackend = createHttpBackend(settings, maxConnections, connectTimeoutMs, QUIET_PERIOD_MS);
        // A health check is answered without queueing, so that the connect timeout applies to it as well.
        dispatcher = new RequestDispatcher(
                extension.wrapLoadBalancer(createLoadBalancer(settings), context),
                extension.wrapBackend(httpBackend, context),
                clock,
                loop,
                overload,
                settings.classes(),
                connectTimeoutMs);
        requestHandler = extension.wrapRequestHandler(dispatcher, context);
        frontend = new HttpFrontend(
                new RequestClassifier(names, settings.classes()),
                requestHandler,
                clock,
                loop,
                overload,
                clients,
                largeBodies,
                messageMemory);
        warmUp = new JvmWarmUp(
                config,
                settings,
                names,
                frontend,
                // This program's own listener responds to each request once.
                createHttpBackend(settings, MAX_WARM_UP_CONNECTIONS, connectTimeoutMs, 0),
                clock,
                loop,
                () -> mayWarmUp || !frontend.hasReceivedRequest());
        EndpointUpdateReader reader = new EndpointUpdateReader(names.zones());
        initialEndpoints = reader.read(config.knownEndpoints());
        StartupPolicy startupPolicy = extension.startupPolicy(
                StartupPolicy.forLocalAgent(config.instanceSeed(), SettingsReader.drainGraceMs(config.settings())),
                context);
        readiness = startupPolicy.readiness();
        watch = new EndpointWatch(
                config.discovery(),
                reader,
                initialEndpoints.version(),
                new EndpointWatchListener(),
                loop,
                startupPolicy.pollPolicies());
        longestDeadlineMs = longestDeadlineMs(settings);
    }

    /** Passes endpoint updates on, and determines when the list is current enough to become ready. */
    private final class EndpointWatchListener implements EndpointWatch.Listener {

        @Override
        public void onEndpointUpdate(EndpointUpdate update) {
            dispatcher.onEndpointUpdate(update);
            int readyServers = 0;
            for (EndpointUpdate.EndpointAddress listed : update.endpoints()) {
                readyServers += listed.endpoint().state() == EndpointState.READY ? 1 : 0;
            }
            isUpdateSufficient = readiness.isReadyAfter(
                    update.complete(),
                    readyServers,
                    initialEndpoints.endpoints().size());
        }

        @Override
        public void onWatchAlive() {
            if (isUpdateSufficient) {
                initialUpdateReceived.countDown();
            }
        }

        @Override
        public void onWatchLost() {
            dispatcher.onWatchLost();
        }
    }

    private static long longestDeadlineMs(Settings settings) {
        double longestMs = MIN_LONGEST_DEADLINE_MS;
        for (RequestClass requestClass : settings.classes()) {
            longestMs = Math.max(longestMs, requestClass.deadlineMs());
        }
        return (long) longestMs;
    }

    private HttpBackend createHttpBackend(
            Settings settings, int maxConnections, double connectTimeoutMs, double quietMs) {
        return new HttpBackend(
                clock,
                loop,
                overload::likelyArrivalMs,
                settings.loadFields(),
                new ConnectionLimits(connectTimeoutMs, settings.limits().connectionIdleMs(), quietMs, maxConnections),
                largeBodies,
                messageMemory);
    }

    private LoadBalancer createLoadBalancer(Settings settings) {
        LoadBalancer loadBalancer = new AdaptiveLoadBalancer(settings, config.seed());
        // Only with -ea; without assertions the class is not loaded.
        assert (loadBalancer = InvariantCheckingLoadBalancer.wrap(loadBalancer, settings)) != null;
        return loadBalancer;
    }

    private static double connectTimeoutMs(Map<String, Object> settings) {
        return settings.get("limits") instanceof Map<?, ?> limits
                        && limits.get("connectTimeoutMs") instanceof Number number
                ? number.doubleValue()
                : DEFAULT_CONNECT_TIMEOUT_MS;
    }

    /** Returns the overload controller's configuration: weights from the settings, and the event loop's interval. */
    static OverloadConfig overloadConfig(Settings settings, long seed) {
        Limits limits = settings.limits();
        return OverloadConfig.of(
                settings.classes().stream().map(RequestClass::priorityWeight).toList(),
                settings.overQuotaWeight(),
                limits.retryAfter(),
                limits.maxRetryAfterMs(),
                EventLoop.SELECT_INTERVAL_MS,
                seed);
    }

    /** Notifies the overload controller of the rounds of the event loop. */
    private EventLoop.RoundListener createRoundListener() {
        return new EventLoop.RoundListener() {
            @Override
            public void selectReturned() {
                overload.onSelectReturned(clock.nowMs());
                mayWarmUp = overload.isAllowed(clock.nowMs(), BackgroundTask.JVM_WARM_UP);
                Log.limitToFirstLine(!overload.isAllowed(clock.nowMs(), BackgroundTask.FULL_LOGGING));
            }

            @Override
            public void roundEnded(boolean read) {
                overload.onRoundEnded(clock.nowMs(), read);
            }
        };
    }

    /**
     * Starts the sidecar and returns once it is ready. After an exception, threads are left running: the process is
     * expected to end.
     *
     * @throws IOException if it cannot listen
     */
    public void start() throws IOException, InterruptedException {
        ClassPreloading.loadClasses(extension.getClass());
        loop.start(createRoundListener(), context.clients());
        dispatcher.onEndpointUpdate(new EndpointUpdate(initialEndpoints.version(), true, initialEndpoints.endpoints()));
        if (extension.watchesDiscovery()) {
            watch.start();
            // The initial list may be outdated: requests before the update would go to servers that are draining.
            initialUpdateReceived.await(
                    (long) readiness.timeoutMs(initialEndpoints.endpoints().size()), TimeUnit.MILLISECONDS);
        }
        frontend.start(config.listen());
        extension.onStarting(requestHandler, dispatcher, context);
        int warmUpRequests = warmUp.run(address(), MAX_WARM_UP_MS);
        frontend.setReady();
        Log.event(
                "sidecar_started",
                "name",
                config.name(),
                "address",
                address(),
                "known_servers",
                initialEndpoints.endpoints().size(),
                "warm_up_requests",
                warmUpRequests);
    }

    /** Rereads the configuration and applies it. An invalid configuration is logged and changes nothing. */
    public synchronized void reload(Map<String, String> environment) {
        try {
            Config newConfig = Config.reload(environment);
            extension.onReload(environment);
            applyConfig(newConfig);
        } catch (IllegalArgumentException unusable) {
            Log.event("config_reload_failed", "error", unusable.getMessage());
        }
    }

    /** Watches the discovery address of a new configuration; all other changes need a restart. */
    public synchronized void applyConfig(Config newConfig) {
        if (newConfig.discovery().equals(config.discovery()) || !extension.watchesDiscovery()) {
            Log.event("discovery_unchanged", "address", config.discovery());
        } else {
            Log.event("discovery_changed", "from", config.discovery(), "to", newConfig.discovery());
            watch.moveTo(newConfig.discovery());
        }
        config = newConfig;
    }

    /**
     * Ends the process with exit code 1 when an error ends a thread, or the event loop or the listener ends for any
     * reason; at once if the event loop has ended or there is no memory, else after the requests under way. To be
     * called before {@link #start}.
     */
    public void endProcessIfThreadFails() {
        loop.setFailureHandler((thread, thrown) -> ProcessFailure.endProcess(thread, thrown, this::shutDownGracefully));
        ProcessFailure.endProcessOnUncaughtErrors();
    }

    /** Counts system calls for sockets that have failed. */
    public LoopCounters failedCalls() {
        return loop.counters();
    }

    public InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Accepts connections for {@link #ACCEPT_GRACE_MS} more, then closes the listener and idle connections, waits until
     * all clients' connections are closed, each after its last response, and stops. Waits for connections and not for
     * requests because a request that has just been read does not count as open yet.
     */
    public void shutDownGracefully() {
        Log.event("shutdown_started", "name", config.name());
        frontend.closeAfterResponses();
        try {
            TimeUnit.MILLISECONDS.sleep(ACCEPT_GRACE_MS);
            stopListening();
            extension.onStopping();
            frontend.closeIdle(clock.nowMs() + longestDeadlineMs - SHUTDOWN_MARGIN_MS);
            long deadlineNanos = awaitClientConnections();
            // Requests without a response, such as one-way calls, may outlive their client's connection.
            CountDownLatch idle = new CountDownLatch(1);
            dispatcher.whenIdle(idle::countDown);
            boolean isIdle = idle.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            Log.event("shutdown_finished", "all_requests_answered", isIdle);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        stop();
        Log.flush();
    }

    /**
     * Waits until all clients' connections are closed, at most for the longest deadline. Large bodies in transit may
     * take their grace period and the longest deadline after it. A large body may start at any time, when a partly read
     * request turns out to be large.
     *
     * @return the {@link System#nanoTime} until which the rest of the shutdown may wait
     */
    private long awaitClientConnections() throws InterruptedException {
        CountDownLatch allClosed = new CountDownLatch(1);
        frontend.whenAllClosed(allClosed::countDown);
        long bodiesDeadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) largeBodies.shutdownGraceMs());
        long deadlineNanos;
        boolean areAllClosed;
        do {
            awaitLargeBodies(bodiesDeadlineNanos);
            deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestDeadlineMs);
            areAllClosed = allClosed.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        } while (!areAllClosed && System.nanoTime() < bodiesDeadlineNanos && !awaitLargeBodies(System.nanoTime()));
        return deadlineNanos;
    }

    /** Waits until no large body is in transit or the deadline has passed; returns whether none is in transit. */
    private boolean awaitLargeBodies(long deadlineNanos) throws InterruptedException {
        CountDownLatch checked = new CountDownLatch(1);
        CountDownLatch idle = new CountDownLatch(1);
        loop.execute(() -> {
            largeBodies.whenIdle(idle::countDown);
            checked.countDown();
        });
        checked.await(longestDeadlineMs, TimeUnit.MILLISECONDS);
        return idle.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    /** Closes everything immediately, including open requests. */
    public void stop() {
        watch.close();
        dispatcher.close();
        loop.close();
        extension.onStopped();
    }

    private void stopListening() {
        try {
            frontend.stopListening();
        } catch (IOException failed) {
            Log.event("listener_close_failed", "error", failed.getMessage());
        }
    }
}
