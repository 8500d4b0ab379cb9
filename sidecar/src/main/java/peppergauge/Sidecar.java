package peppergauge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import peppergauge.backend.HttpBackend;
import peppergauge.coldstart.Readiness;
import peppergauge.coldstart.Start;
import peppergauge.config.Config;
import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.Limits;
import peppergauge.decision.Balancer.RequestClass;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Decide;
import peppergauge.frontend.HttpFrontend;
import peppergauge.frontend.Site;
import peppergauge.invariant.CheckedBalancer;
import peppergauge.log.Log;
import peppergauge.overload.Extra;
import peppergauge.overload.Overload;
import peppergauge.overload.OverloadSettings;
import peppergauge.servertable.ServerTableReader;
import peppergauge.servertable.ServerTableWatch;
import peppergauge.session.Bodies;
import peppergauge.session.Clock;
import peppergauge.session.Intake;
import peppergauge.session.ServerTable;
import peppergauge.session.Sessions;
import peppergauge.settings.SettingsReader;
import peppergauge.settings.SiteNames;
import peppergauge.sockets.Claimant;
import peppergauge.sockets.Clients;
import peppergauge.sockets.Loop;

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
    private final Overload<Claimant, Sessions.Newcomer> overload;
    /** Whether there is time for a rehearsal beside clients' sessions. */
    private volatile boolean calm = true;

    private final Loop loop = new Loop();
    private final Additions additions;
    private final Additions.Parts parts;
    private final Sessions sessions;
    private final Intake intake;
    private final Bodies bodies;
    private final HttpFrontend frontend;
    private final Rehearsal rehearsal;
    private final ServerTableWatch watch;
    private final ServerTable known;
    private final Readiness readiness;
    /** An empty line is: nothing has changed. */
    private volatile boolean isNews = true;

    private final CountDownLatch firstNews = new CountDownLatch(1);
    private final long longestDeadlineMs;

    /** The platform's. */
    Sidecar(Config config) {
        this(config, Additions.NONE);
    }

    /** One to which an installation adds; an {@link IllegalArgumentException} says what of the settings is unusable. */
    public Sidecar(Config config, Additions additions) {
        this.config = config;
        this.additions = additions;
        Settings settings = SettingsReader.read(config.settings());
        SiteNames names = SiteNames.read(config.settings());
        Limits limits = settings.limits();
        int mostConnections = (config.sockets() - OWN_SOCKETS) / 2;
        double connectTimeoutMs = connectTimeoutMs(config.settings());
        overload = new Overload<>(overload(settings, config.seed()));
        Clients clients = new Clients(loop, mostConnections, clock, overload);
        parts = new Additions.Parts(config, settings, names, clock, loop, overload, clients);
        bodies = additions.bodies(parts);
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
        sessions = new Sessions(
                additions.balancer(module(settings), parts),
                additions.backend(http, parts),
                clock,
                loop,
                overload,
                settings.classes(),
                connectTimeoutMs);
        intake = additions.intake(sessions, parts);
        frontend =
                new HttpFrontend(new Site(names, settings.classes()), intake, clock, loop, overload, clients, bodies);
        rehearsal =
                new Rehearsal(config, settings, names, frontend, http, clock, loop, () -> calm || !frontend.asked());
        ServerTableReader reader = new ServerTableReader(names.zones());
        known = reader.read(config.known());
        Start start =
                additions.start(Start.prompt(config.ownSeed(), SettingsReader.drainGraceMs(config.settings())), parts);
        readiness = start.readiness();
        watch = new ServerTableWatch(
                config.discovery(),
                reader,
                known.version(),
                new ServerTableWatch.Listener() {
                    @Override
                    public void listed(ServerTable table) {
                        sessions.listed(table);
                        long ready = table.rows().stream()
                                .filter(row -> row.entry().state() == ServerState.READY)
                                .count();
                        isNews = readiness.isNews(
                                table.whole(), (int) ready, known.rows().size());
                    }

                    @Override
                    public void heard() {
                        if (isNews) {
                            firstNews.countDown();
                        }
                    }

                    @Override
                    public void lost() {
                        sessions.tableLost();
                    }
                },
                loop,
                start.paces());
        longestDeadlineMs = (long) Math.max(
                LEAST_DEADLINE_MS,
                settings.classes().stream()
                        .mapToDouble(kind -> kind.deadlineMs())
                        .max()
                        .orElse(0));
    }

    private Balancer module(Settings settings) {
        Balancer module = new Decide(settings, config.seed());
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
    static OverloadSettings overload(Settings settings, long seed) {
        Limits limits = settings.limits();
        return OverloadSettings.of(
                settings.classes().stream().map(RequestClass::worth).toList(),
                settings.overShareWorth(),
                limits.retryAfter(),
                limits.maxRetryAfterMs(),
                Loop.SELECT_MS,
                seed);
    }

    /** Tells the overload control of the loop's rounds. */
    private Loop.Watcher rounds() {
        return new Loop.Watcher() {
            @Override
            public void selectReturned() {
                overload.selectReturned(clock.nowMs());
                calm = overload.runs(clock.nowMs(), Extra.REHEARSAL);
                Log.fewer(!overload.runs(clock.nowMs(), Extra.LOG));
            }

            @Override
            public void roundEnded(boolean read) {
                overload.roundEnded(clock.nowMs(), read);
            }
        };
    }

    /** Returns once it is ready; a failure leaves threads behind, for the program ends then. */
    public void start() throws IOException, InterruptedException {
        loop.start(rounds(), parts.clients());
        sessions.listed(new ServerTable(known.version(), true, known.rows()));
        if (additions.watchesDiscovery()) {
            watch.start();
            // What is known from before may be old: a session that came sooner would go to servers that leave by now.
            firstNews.await((long) readiness.waitMs(known.rows().size()), TimeUnit.MILLISECONDS);
        }
        frontend.start(config.listen());
        additions.starting(intake, sessions, parts);
        int rehearsed = rehearsal.run(address(), LONGEST_REHEARSAL_MS);
        frontend.setReady();
        Log.line(
                "start",
                config.name() + " serves on " + address() + " with "
                        + known.rows().size() + " backend servers known, " + rehearsed + " requests rehearsed");
    }

    /** Rereads the configuration: discovery may be elsewhere now. What cannot be used changes nothing. */
    public synchronized void reload(Map<String, String> environment) {
        try {
            Config fresh = Config.reread(environment);
            additions.reload(environment);
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
        frontend.closeAfterAnswers();
        try {
            TimeUnit.MILLISECONDS.sleep(KEEP_ACCEPTING_MS);
            stopListening();
            additions.stopping();
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
        frontend.whenNoneIsOpen(clientsGone::countDown);
        long bodiesUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) bodies.finishMs());
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
        additions.stopped();
    }

    private void stopListening() {
        try {
            frontend.stopListening();
        } catch (IOException failed) {
            Log.line("stop", "the listener did not close: " + failed.getMessage());
        }
    }
}
