package peppergauge.fleet.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.state.ReportStore;
import peppergauge.fleet.state.ReportValidator.NewestReport;
import peppergauge.fleet.state.ReportValidator.StoreSize;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.storage.PersistedState;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.promises.TrafficKey;

/**
 * Owns the merged state: report store and totals. Other threads send messages to its inbox and read the views and
 * snapshots that it creates.
 */
final class MergeWorker {

    /** A message to the inbox. */
    sealed interface Message {}

    /** Reports arrived, from their daemon or from another instance. */
    record ReportsReceived(List<DaemonReport> reports, boolean fromDaemon) implements Message {}

    /** Another instance polls for changes; the reply runs on the merge thread. */
    record ChangesRequested(long since, boolean includeRelayed, Consumer<ReportStore.Changes> reply)
            implements Message {}

    private static final int MAX_MESSAGES_PER_STEP = 256;
    /** Approximate size of one response to another instance. */
    private static final long MAX_CHANGES_BYTES = 4 << 20;

    private static final long CLEANUP_INTERVAL_MS = 10_000;
    /** Number of report intervals without a report after which a daemon is not live any more. */
    private static final int LIVE_INTERVALS = 3;
    /** Number of report intervals after a start in which daemons known from disk count as live. */
    private static final int START_INTERVALS = 2;

    private final FleetServiceConfig settings;
    private final LongSupplier clock;
    private final BoundedInbox<Message> inbox;
    private final LatestValueQueue<FleetView> views = new LatestValueQueue<>();
    private final LatestValueQueue<FleetView> forecastViews = new LatestValueQueue<>();
    private final LatestValueQueue<Supplier<PersistedState>> snapshots = new LatestValueQueue<>();
    private final ReportStore reportStore = new ReportStore();
    private final TrafficTotals trafficTotals;
    private final Map<String, NewestReport> newest = new ConcurrentHashMap<>();
    private volatile byte[] plannerState = new byte[0];
    private volatile byte[] forecastState = new byte[0];
    private volatile int liveDaemons;
    private volatile long bytes;
    private final long startedMs;
    private long lastViewMs;
    private long lastSnapshotMs;
    private long lastCleanupMs;

    /**
     * Continues from stored state.
     *
     * @param clock Unix time, ms
     * @param before stored state, null for none
     */
    MergeWorker(FleetServiceConfig settings, LongSupplier clock, PersistedState before) {
        this.settings = settings;
        this.clock = clock;
        inbox = new BoundedInbox<>(settings.sizes().inboxCapacity());
        startedMs = clock.getAsLong();
        lastSnapshotMs = startedMs;
        trafficTotals = before == null
                ? new TrafficTotals(settings.sizes().maxTrafficKeys())
                : new TrafficTotals(settings.sizes().maxTrafficKeys(), before.totalsByKey());
        if (before != null) {
            // The stored totals already include these reports.
            before.reports().forEach(report -> {
                reportStore.add(report);
                publishNewest(report);
            });
            plannerState = before.plannerState();
            forecastState = before.forecastState();
        }
    }

    /** Sends a message; returns false if the inbox is full. Any thread. */
    boolean offer(Message message) {
        return inbox.offer(message);
    }

    boolean step() {
        boolean worked = inbox.drain(this::handle, MAX_MESSAGES_PER_STEP);
        long now = clock.getAsLong();
        bytes = reportStore.bytes();
        views.flush();
        forecastViews.flush();
        snapshots.flush();
        if (now - lastViewMs >= settings.tables().intervalMs() || now < lastViewMs) {
            lastViewMs = now;
            liveDaemons = reportStore.countSentSince(
                    now - LIVE_INTERVALS * settings.reportRate().maxIntervalMs());
            FleetView view = view(now);
            views.put(view);
            forecastViews.put(view);
        }
        if (now - lastSnapshotMs >= settings.times().persistIntervalMs() || now < lastSnapshotMs) {
            lastSnapshotMs = now;
            snapshots.put(snapshot());
        }
        if (now - lastCleanupMs >= CLEANUP_INTERVAL_MS || now < lastCleanupMs) {
            lastCleanupMs = now;
            reportStore.removeOlderThan(now, settings.limits().retentionMs());
            newest.keySet().removeIf(daemon -> reportStore.newest(daemon) == null);
        }
        return worked;
    }

    private void handle(Message message) {
        if (message instanceof ChangesRequested request) {
            request.reply()
                    .accept(reportStore.changesSince(request.since(), MAX_CHANGES_BYTES, request.includeRelayed()));
        } else if (message instanceof ReportsReceived received) {
            received.reports().forEach(report -> merge(report, received.fromDaemon()));
        }
    }

    private void merge(DaemonReport report, boolean fromDaemon) {
        long now = clock.getAsLong();
        // An expired report is ignored, since other instances would send it again after each removal.
        if (now - report.sentMs() > settings.limits().retentionMs() || !hasCapacity(report)) {
            return;
        }
        ReportStore.Change change = reportStore.add(report, fromDaemon);
        if (change != null) {
            trafficTotals.count(change, now, settings.limits().retentionMs());
            publishNewest(reportStore.newest(report.daemon()));
        }
    }

    /** Returns whether the store has capacity for a report; checked for relayed reports, too. */
    private boolean hasCapacity(DaemonReport report) {
        return reportStore.bytes() < settings.limits().maxBytes()
                && (reportStore.newest(report.daemon()) != null
                        || reportStore.size() < settings.limits().maxDaemons());
    }

    private void publishNewest(DaemonReport report) {
        newest.put(report.daemon(), new NewestReport(report.incarnation(), report.sequence()));
    }

    private FleetView view(long nowMs) {
        Map<String, FleetView.DaemonView> daemons = new HashMap<>();
        reportStore.newest().stream()
                .filter(report -> report.keys() != null)
                .forEach(report -> daemons.put(
                        report.daemon(),
                        new FleetView.DaemonView(
                                report.incarnation(),
                                report.sentMs(),
                                report.keys(),
                                report.servers(),
                                report.serviceTimes(),
                                report.levels())));
        return new FleetView(nowMs, trafficTotals.totals(), daemons, liveDaemons);
    }

    /** Returns the present state. Encoding it is expensive and runs on the thread that calls the supplier. */
    private Supplier<PersistedState> snapshot() {
        List<DaemonReport> reports = reportStore.reports();
        Map<TrafficKey, TrafficTotals.Total> totals = trafficTotals.totals();
        return () -> PersistedState.of(reports, totals, plannerState, forecastState);
    }

    /** Returns the state at shutdown. To be called when the merge thread has ended. */
    PersistedState finalSnapshot() {
        return snapshot().get();
    }

    /** Returns the queue of views for the planning worker. */
    LatestValueQueue<FleetView> views() {
        return views;
    }

    /** Returns the queue of the same views for the forecast worker. */
    LatestValueQueue<FleetView> forecastViews() {
        return forecastViews;
    }

    /** Returns the queue of snapshots for the persistence worker. */
    LatestValueQueue<Supplier<PersistedState>> snapshots() {
        return snapshots;
    }

    /** Returns the position of a daemon's newest report, null for none. Any thread. */
    NewestReport newest(String daemon) {
        return newest.get(daemon);
    }

    /** Returns the size of the report store. Any thread. */
    StoreSize storeSize() {
        return new StoreSize(newest.size(), bytes);
    }

    /** Returns the number of daemons that reported within the last intervals. Any thread. */
    int liveDaemons() {
        return liveDaemons;
    }

    /** Returns the number of live daemons; after a start daemons known from disk are included. Any thread. */
    int expectedDaemons() {
        boolean starting = clock.getAsLong() - startedMs
                < START_INTERVALS * settings.reportRate().maxIntervalMs();
        return starting ? Math.max(liveDaemons, newest.size()) : liveDaemons;
    }

    long rejected() {
        return inbox.rejected();
    }

    byte[] plannerState() {
        return plannerState;
    }

    /** Sets the planner's state to be stored with the next snapshot. Any thread. */
    void plannerState(byte[] state) {
        plannerState = state;
    }

    byte[] forecastState() {
        return forecastState;
    }

    /** Sets the forecasts' state to be stored with the next snapshot. Any thread. */
    void forecastState(byte[] state) {
        forecastState = state;
    }
}
