package peppergauge.nomad;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import peppergauge.SidecarExtension;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.config.Config;
import peppergauge.discovery.EndpointUpdateReader;
import peppergauge.discovery.EndpointWatch;
import peppergauge.log.Log;
import peppergauge.membership.DecisionReason;
import peppergauge.membership.Membership;
import peppergauge.membership.ReportedEndpoint;
import peppergauge.membership.SourceUpdate;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.BackgroundThread;
import peppergauge.nomad.api.HttpApiClient;
import peppergauge.nomad.api.TokenFile;
import peppergauge.operator.Values;
import peppergauge.request.Backend;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.settings.SettingsReader;
import peppergauge.sockets.EventLoop;

/**
 * Sidecar extension that replaces the watch of discovery by {@link Membership}, with Nomad and the platform's discovery
 * as sources. It adds nothing unless the operator file enables it. Updates are processed on the event loop's thread.
 */
public final class NomadExtension implements SidecarExtension {

    /** Interval at which a changed endpoint list is written to its file. */
    private static final double WRITE_INTERVAL_MS = 5_000;

    /** Share of the start spread that is used by an instance without a known server. */
    private static final double EMPTY_START_SPREAD_SHARE = 0.1;

    private final Values file;
    private final boolean enabled;
    private final Membership membership;
    private MembershipRunner runner;
    private Context context;
    private RequestDispatcher dispatcher;
    private BackgroundExecutor background;
    private Config config;
    private NomadSource source;
    private EndpointWatch watch;
    private Optional<EndpointListFile> listFile = Optional.empty();
    private boolean isListUnwritten;
    private volatile boolean isClosed;

    /**
     * Creates the extension of an operator file.
     *
     * @param file valid operator file of kind {@link NomadFile#KIND}
     */
    public NomadExtension(Values file) {
        this.file = file;
        enabled = NomadSection.enabled(file);
        membership = new Membership(MembershipSection.config(file));
    }

    @Override
    public Backend wrapBackend(Backend backend, Context sidecar) {
        if (!enabled) {
            return backend;
        }
        runner = new MembershipRunner(membership, sidecar.loop(), sidecar.clock(), this::publish, this::log);
        // Attempts may end on any thread.
        return runner.wrapBackend(backend, task -> runOnLoop(sidecar.loop(), task));
    }

    private static void runOnLoop(EventLoop loop, Runnable task) {
        if (loop.isEventLoopThread()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    @Override
    public boolean watchesDiscovery() {
        return !enabled;
    }

    @Override
    public void onStarting(RequestHandler requestHandler, RequestDispatcher requestDispatcher, Context sidecar) {
        if (!enabled) {
            return;
        }
        context = sidecar;
        dispatcher = requestDispatcher;
        config = sidecar.config();
        background = new BackgroundThread(sidecar.loop());
        listFile = MembershipSection.listFile(file).map(path -> new EndpointListFile(path, background));
        EndpointUpdateReader reader =
                new EndpointUpdateReader(sidecar.settingsNames().zones());
        List<EndpointUpdate.EndpointAddress> known =
                new ArrayList<>(reader.read(config.knownEndpoints()).endpoints());
        if (known.isEmpty()) {
            known.addAll(listFile.map(EndpointListFile::read).orElse(List.of()));
            dispatcher.onEndpointUpdate(new EndpointUpdate(0, true, known));
        }
        NomadSettings settings =
                NomadSection.settings(file, sidecar.settingsNames().zones());
        List<String> sources = MembershipSection.config(file).sources();
        sidecar.loop().execute(() -> runner.start(known));
        if (sources.contains(MembershipSection.PLATFORM)) {
            startPlatformWatch(reader);
        }
        if (sources.contains(MembershipSection.NOMAD)) {
            startNomadSource(settings, known.isEmpty());
        }
        Log.event(
                "nomad_source_enabled", "sources", sources, "service", settings.service(), "agents", settings.agents());
        sidecar.loop().schedule(WRITE_INTERVAL_MS, this::writeList);
    }

    private void startPlatformWatch(EndpointUpdateReader reader) {
        watch = new EndpointWatch(
                config.discovery(),
                reader,
                0,
                new PlatformListener(),
                context.loop(),
                StartupPolicy.forLocalAgent(config.instanceSeed(), SettingsReader.drainGraceMs(config.settings()))
                        .pollPolicies());
        context.loop().execute(watch::start);
    }

    private void startNomadSource(NomadSettings settings, boolean isListEmpty) {
        TokenFile token = new TokenFile(settings.tokenFile(), background);
        source = new NomadSource(
                MembershipSection.NOMAD,
                settings,
                new HttpApiClient(context.loop(), background, token),
                token,
                background,
                context.loop(),
                context.clock(),
                new Random(config.instanceSeed()),
                runner);
        source.start(settings.startSpreadMs() * (isListEmpty ? EMPTY_START_SPREAD_SHARE : 1));
    }

    private void publish(EndpointUpdate update) {
        isListUnwritten = true;
        dispatcher.onEndpointUpdate(update);
    }

    private void log(DecisionReason reason) {
        boolean isNew = reason.kind() == DecisionReason.Kind.NEW && source != null;
        Log.event(
                "membership_decision",
                "kind",
                reason.label(),
                "source",
                reason.source(),
                "server",
                reason.server(),
                "reason",
                reason.text(),
                "details",
                isNew ? source.describe(reason.server()) : "");
    }

    /** Writes the list to its file if it has changed, and schedules the next call. */
    private void writeList() {
        if (!isClosed) {
            if (isListUnwritten) {
                listFile.ifPresent(target -> target.write(membership.snapshot()));
                isListUnwritten = false;
            }
            context.loop().schedule(WRITE_INTERVAL_MS, this::writeList);
        }
    }

    /** Watches the new discovery address if it has changed; the operator file is not read again. */
    @Override
    public void onReload(Map<String, String> environment) {
        if (watch != null) {
            Config reloaded = Config.reload(environment);
            if (!reloaded.discovery().equals(config.discovery())) {
                watch.moveTo(reloaded.discovery());
            }
            config = reloaded;
        }
    }

    @Override
    public void onStopped() {
        isClosed = true;
        if (runner != null) {
            runner.close();
        }
        if (watch != null) {
            watch.close();
        }
        if (source != null) {
            source.close();
        }
        if (background != null) {
            background.close();
        }
    }

    /** Reports the updates of the platform's discovery as those of a source. */
    private final class PlatformListener implements EndpointWatch.Listener {

        @Override
        public void onEndpointUpdate(EndpointUpdate update) {
            List<ReportedEndpoint> servers =
                    update.endpoints().stream().map(ReportedEndpoint::of).toList();
            runner.onUpdate(
                    update.complete()
                            ? new SourceUpdate.CompleteList(MembershipSection.PLATFORM, update.version(), true, servers)
                            : new SourceUpdate.Changes(MembershipSection.PLATFORM, update.version(), servers));
        }

        @Override
        public void onWatchLost() {
            runner.onUpdate(new SourceUpdate.Lost(MembershipSection.PLATFORM));
        }
    }
}
