package peppergauge.fleet.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import peppergauge.fleet.http.HttpServer;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.planner.Planner;
import peppergauge.fleet.state.ReportValidator;
import peppergauge.fleet.storage.PersistedState;
import peppergauge.fleet.storage.PersistedVersions;
import peppergauge.fleet.storage.RecordFile;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.log.Log;
import peppergauge.snapshot.storage.FileSystem;

/** One instance of the fleet service: creates, starts and closes its workers and its HTTP server. */
public final class FleetService implements AutoCloseable {

    private final FleetServiceConfig settings;
    private final LongSupplier clock;
    private final MergeWorker merging;
    private final PlanningWorker planning;
    private final TablePublisher publisher;
    private final PersistenceWorker persistence;
    private final GossipWorker gossip;
    private final ReportValidator validator;
    private final FleetEndpoint endpoint;
    /** All workers; the merge worker is the first. */
    private final List<PeriodicWorker> workers;

    private final HttpServer server;
    private final RecordFile<PersistedState> stateFile;

    /**
     * Starts an instance.
     *
     * @param clock Unix time, ms
     * @throws IOException if it cannot listen on its address, or its folder is unusable
     */
    public FleetService(FleetServiceConfig settings, Planner planner, FileSystem fileSystem, LongSupplier clock)
            throws IOException, InterruptedException {
        this.settings = settings;
        this.clock = clock;
        long started = clock.getAsLong();
        validator = new ReportValidator(settings.site(), settings.limits());
        stateFile = new RecordFile<>(fileSystem, settings.folder(), settings.name(), "state", PersistedState.class);
        merging = new MergeWorker(settings, clock, readState());
        planning = new PlanningWorker(planner, merging);
        ForecastWorker forecasts = new ForecastWorker(planner, merging);
        persistence = new PersistenceWorker(stateFile, merging.snapshots(), clock);
        publisher = new TablePublisher(
                settings,
                clock,
                planning.plans(),
                this::isLeader,
                new RecordFile<>(fileSystem, settings.folder(), settings.name(), "versions", PersistedVersions.class));
        gossip = new GossipWorker(
                settings, clock, merging, publisher, validator, membership(settings, started), started);
        endpoint = new FleetEndpoint(settings, clock, validator, merging, publisher, gossip, forecasts, this::status);
        workers = List.of(
                new PeriodicWorker("merge", merging::step),
                new PeriodicWorker("decide", planning::step),
                new PeriodicWorker("publish", publisher::step),
                new PeriodicWorker("gossip", gossip::step),
                new PeriodicWorker("keep", persistence::step),
                new PeriodicWorker("forecast", forecasts::step));
        workers.forEach(PeriodicWorker::start);
        server = new HttpServer(
                settings.listen(),
                settings.sizes().maxReportBytes(),
                settings.sizes().maxConnections(),
                endpoint);
        Log.event(
                "fleet_instance_started",
                "name",
                settings.name(),
                "site",
                settings.site(),
                "address",
                server.address(),
                "known_daemons",
                merging.storeSize().daemons());
    }

    private static Membership membership(FleetServiceConfig settings, long started) {
        return new Membership(
                settings.name(),
                started,
                settings.peers().stream().map(FleetServiceConfig.Peer::name).collect(Collectors.toSet()),
                settings.membershipTimeouts(),
                started);
    }

    /** Returns the stored state, null if there is no usable one. */
    private PersistedState readState() {
        return stateFile
                .read(FleetService::logUnusableFile)
                .filter(this::isUsable)
                .orElse(null);
    }

    private boolean isUsable(PersistedState state) {
        try {
            return state.reports() != null
                    && state.totals() != null
                    && state.plannerState() != null
                    && state.totalsByKey() != null
                    && state.reports().stream().allMatch(report -> validator.isMergeable(report, clock.getAsLong()));
        } catch (IllegalArgumentException malformed) {
            Log.event("fleet_state_unusable", "reason", malformed.getMessage());
            return false;
        }
    }

    static void logUnusableFile(String file, String reason) {
        Log.event("fleet_file_unusable", "file", file, "reason", reason);
    }

    private boolean isLeader() {
        return gossip == null || gossip.isLeader();
    }

    /** Returns the address that the instance listens on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the status page. Any thread. */
    public Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("site", settings.site());
        status.put("name", settings.name());
        status.put("members", gossip.memberStatus());
        status.put("on_duty", gossip.isLeader());
        status.put("daemons", merging.storeSize().daemons());
        status.put("held_bytes", merging.storeSize().bytes());
        status.put("daemons_live", merging.liveDaemons());
        status.put("report_ms", settings.reportRate().intervalMs(merging.expectedDaemons()));
        status.put("version", publisher.highestVersion());
        status.put("table", tableStatus());
        status.put("planner", planning.report());
        status.put("duties", workerStatus());
        status.put("reports", endpoint.reportCounts());
        status.put("rings", queueStatus());
        status.put("failed", failureStatus());
        return status;
    }

    private Map<String, Object> tableStatus() {
        FleetTable table = publisher.newerThan(0);
        return table == null
                ? Map.of()
                : Map.of(
                        "version",
                        table.version(),
                        "issuer",
                        table.issuer(),
                        "age_ms",
                        clock.getAsLong() - table.issuedMs());
    }

    private Map<String, String> workerStatus() {
        long stallTimeoutMs = settings.times().stallTimeoutMs();
        Map<String, String> states = new LinkedHashMap<>();
        states.put("intake", endpoint.describeState(stallTimeoutMs));
        workers.forEach(worker -> states.put(worker.name(), worker.describeState(stallTimeoutMs)));
        return states;
    }

    private Map<String, Long> queueStatus() {
        return Map.of(
                "merge_full",
                merging.rejected(),
                "views_let_go",
                merging.views().dropped(),
                "kept_let_go",
                merging.snapshots().dropped(),
                "forecasts_let_go",
                merging.forecastViews().dropped(),
                "told_full",
                publisher.rejectedOffers());
    }

    private Map<String, Long> failureStatus() {
        return Map.of(
                "gossip",
                gossip.failures(),
                "keep",
                persistence.failures(),
                "versions",
                publisher.failedReservations(),
                "unbelieved",
                publisher.rejectedVersions());
    }

    /** Shuts down gracefully: writes the merged state and notifies the other instances that this one leaves. */
    @Override
    public void close() {
        server.close();
        workers.forEach(PeriodicWorker::close);
        gossip.leave();
        if (!workers.get(0).hasEnded()) {
            persistence.write(merging.finalSnapshot());
        }
        try {
            stateFile.close();
            publisher.close();
        } catch (IOException failed) {
            Log.event("fleet_lock_not_released", "reason", failed.getMessage());
        }
    }

    /** Ends without notifying other instances or writing state, as in a crash. For tests. */
    void crash() throws IOException {
        server.close();
        workers.forEach(PeriodicWorker::close);
        stateFile.close();
        publisher.close();
    }
}
