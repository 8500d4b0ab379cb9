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
import peppergauge.nomad.wire.LoopHttp;
import peppergauge.nomad.wire.TokenFile;
import peppergauge.nomad.wire.Work;
import peppergauge.nomad.wire.WorkThread;
import peppergauge.operator.Values;
import peppergauge.request.Backend;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.settings.SettingsReader;

/**
 * Puts membership, and Nomad before it, in place of the plain watch of discovery; where the operator's file does not
 * enable it, nothing is added at all. Membership, sources and this live on the sidecar's loop.
 */
public final class NomadExtension implements SidecarExtension {

    private static final double WRITE_MS = 5_000;
    /** Without a known server the first list is worth more than the spread. */
    private static final double HURRIED = 0.1;

    private final Values file;
    private final boolean enabled;
    private final Membership membership;
    private Believing believing;
    private Context parts;
    private RequestDispatcher sessions;
    private Work work;
    private Config config;
    private NomadSource source;
    private EndpointWatch watch;
    private Optional<LastTable> last = Optional.empty();
    private boolean unwritten;
    private volatile boolean closed;

    /** @param file of kind {@link NomadFile#KIND}, read without a problem */
    public NomadExtension(Values file) {
        this.file = file;
        enabled = NomadSection.enabled(file);
        membership = new Membership(MembershipSection.policy(file));
    }

    @Override
    public Backend wrapBackend(Backend http, Context of) {
        if (!enabled) {
            return http;
        }
        believing = new Believing(membership, of.loop(), of.clock(), this::hand, this::log);
        // Attempts may end on any thread; the loop's owns membership.
        return believing.watching(http, task -> onLoop(of, task));
    }

    private static void onLoop(Context of, Runnable task) {
        if (of.loop().isEventLoopThread()) {
            task.run();
        } else {
            of.loop().execute(task);
        }
    }

    @Override
    public boolean watchesDiscovery() {
        return !enabled;
    }

    @Override
    public void onStarting(RequestHandler intake, RequestDispatcher told, Context of) {
        if (!enabled) {
            return;
        }
        parts = of;
        sessions = told;
        config = of.config();
        work = new WorkThread(of.loop());
        last = MembershipSection.lastTable(file).map(path -> new LastTable(path, work));
        EndpointUpdateReader reader =
                new EndpointUpdateReader(of.settingsNames().zones());
        List<EndpointUpdate.EndpointAddress> known =
                new ArrayList<>(reader.read(config.knownEndpoints()).endpoints());
        if (known.isEmpty()) {
            known.addAll(last.map(LastTable::read).orElse(List.of()));
            sessions.onEndpointUpdate(new EndpointUpdate(0, true, known));
        }
        NomadSettings settings = NomadSection.settings(file, of.settingsNames().zones());
        List<String> sources = MembershipSection.policy(file).sources();
        of.loop().execute(() -> believing.start(known));
        if (sources.contains(MembershipSection.PLATFORM)) {
            watch = new EndpointWatch(
                    config.discovery(),
                    reader,
                    0,
                    new FromPlatform(),
                    of.loop(),
                    StartupPolicy.forLocalAgent(config.instanceSeed(), SettingsReader.drainGraceMs(config.settings()))
                            .pollPolicies());
            of.loop().execute(watch::start);
        }
        if (sources.contains(MembershipSection.NOMAD)) {
            Random random = new Random(config.instanceSeed());
            TokenFile token = new TokenFile(settings.token(), work);
            source = new NomadSource(
                    MembershipSection.NOMAD,
                    settings,
                    new LoopHttp(of.loop(), work, token),
                    token,
                    work,
                    of.loop(),
                    of.clock(),
                    random,
                    believing);
            source.start(settings.spreadMs() * (known.isEmpty() ? HURRIED : 1));
        }
        Log.line(
                "nomad",
                "the server table comes from " + String.join(", then ", sources) + "; service " + settings.service()
                        + " at " + settings.agents());
        of.loop().schedule(WRITE_MS, this::write);
    }

    private void hand(EndpointUpdate table) {
        unwritten = true;
        sessions.onEndpointUpdate(table);
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

    private void write() {
        if (!closed) {
            if (unwritten) {
                last.ifPresent(kept -> kept.write(membership.snapshot()));
                unwritten = false;
            }
            parts.loop().schedule(WRITE_MS, this::write);
        }
    }

    /** The platform's discovery may have moved; what the operator's file says needs a restart. */
    @Override
    public void onReload(Map<String, String> environment) {
        if (watch != null) {
            Config fresh = Config.reload(environment);
            if (!fresh.discovery().equals(config.discovery())) {
                watch.moveTo(fresh.discovery());
            }
            config = fresh;
        }
    }

    @Override
    public void onStopped() {
        closed = true;
        if (believing != null) {
            believing.close();
        }
        if (watch != null) {
            watch.close();
        }
        if (source != null) {
            source.close();
        }
        if (work != null) {
            work.close();
        }
    }

    /** The platform's discovery as one source among others. */
    private final class FromPlatform implements EndpointWatch.Listener {

        @Override
        public void onEndpointUpdate(EndpointUpdate table) {
            List<ReportedEndpoint> servers =
                    table.endpoints().stream().map(ReportedEndpoint::of).toList();
            believing.tell(
                    table.complete()
                            ? new SourceUpdate.CompleteList(MembershipSection.PLATFORM, table.version(), true, servers)
                            : new SourceUpdate.Changes(MembershipSection.PLATFORM, table.version(), servers));
        }

        @Override
        public void onWatchLost() {
            believing.tell(new SourceUpdate.Lost(MembershipSection.PLATFORM));
        }
    }
}
