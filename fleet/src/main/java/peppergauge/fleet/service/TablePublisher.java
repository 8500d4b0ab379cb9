package peppergauge.fleet.service;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import peppergauge.fleet.storage.PersistedVersions;
import peppergauge.fleet.storage.RecordFile;
import peppergauge.fleet.table.TableIssuer;
import peppergauge.fleet.table.VersionClock;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.log.Log;
import peppergauge.snapshot.storage.FailureLog;

/**
 * Issues tables and publishes the newest one. A table is issued only from a recent plan and with a version that is
 * reserved on disk, and is published only within its lease.
 */
final class TablePublisher {

    /**
     * Newest version and table of another instance.
     *
     * @param table null for none
     */
    record PeerTable(long version, FleetTable table) {}

    private static final String RESERVE_VERSION = "reserve table versions";
    private static final int INBOX_CAPACITY = 64;
    /** Table intervals after which a plan, or the leader's table, is stale. */
    private static final int STALE_AFTER_INTERVALS = 3;

    private final FleetServiceConfig settings;
    private final LongSupplier clock;
    private final LatestValueQueue<PlanningWorker.Plan> plans;
    private final BooleanSupplier isLeader;
    private final RecordFile<PersistedVersions> file;
    private final VersionClock versionClock;
    private final TableIssuer issuer;
    private final FailureLog failureLog =
            new FailureLog(Log::event, "fleet_version_write", "fleet_version_write_recovered");
    private final BoundedInbox<PeerTable> inbox = new BoundedInbox<>(INBOX_CAPACITY);
    private final long startedMs;
    private PlanningWorker.Plan plan;
    private long lastIssueMs;
    private volatile FleetTable current;
    private volatile long highestVersion;
    private volatile long rejectedVersions;
    private volatile long failedReservations;

    TablePublisher(
            FleetServiceConfig settings,
            LongSupplier clock,
            LatestValueQueue<PlanningWorker.Plan> plans,
            BooleanSupplier isLeader,
            RecordFile<PersistedVersions> file) {
        this.settings = settings;
        this.clock = clock;
        startedMs = clock.getAsLong();
        this.plans = plans;
        this.isLeader = isLeader;
        this.file = file;
        Optional<PersistedVersions> before = file.read(FleetService::logUnusableFile);
        highestVersion = before.map(PersistedVersions::highestReserved).orElse(0L);
        versionClock = new VersionClock(settings.number(), highestVersion);
        issuer = new TableIssuer(
                settings.site(),
                settings.name(),
                settings.tables().leaseMs(),
                settings.tables().maxStep());
    }

    /** Offers a peer's version and table; if the inbox is full, its next response offers them again. Any thread. */
    void offer(PeerTable published) {
        inbox.offer(published);
    }

    boolean step() {
        long now = clock.getAsLong();
        boolean worked = inbox.drain(published -> adopt(published, now), INBOX_CAPACITY);
        PlanningWorker.Plan newer = plans.poll();
        plan = newer == null ? plan : newer;
        boolean due = Math.abs(now - lastIssueMs) >= settings.tables().intervalMs();
        if (plan != null && due && mayIssue(now)) {
            lastIssueMs = now;
            issue(now);
        }
        return worked;
    }

    private void adopt(PeerTable published, long now) {
        if (!versionClock.observe(published.version(), now)) {
            rejectedVersions++;
            return;
        }
        highestVersion = Math.max(highestVersion, published.version());
        FleetTable table = published.table();
        if (table != null
                && settings.site().equals(table.site())
                && table.weights() != null
                && (current == null || table.version() > current.version())
                && issuer.isPublishable(table, now)
                && table.issuedMs() - now <= settings.limits().clockSkewMs()
                && versionClock.observe(table.version(), now)) {
            current = table;
        }
    }

    /** Returns whether to issue a table: the leader does, and others if none was issued for several intervals. */
    private boolean mayIssue(long now) {
        long staleMs = STALE_AFTER_INTERVALS * settings.tables().intervalMs();
        boolean recent = now - plan.viewMs() <= staleMs;
        long lastMs = current == null ? startedMs : current.issuedMs();
        return recent && (isLeader.getAsBoolean() || now - lastMs > staleMs);
    }

    private void issue(long now) {
        long version = versionClock.next(now);
        long reservation = versionClock.requiredReservation(version, now);
        if (reservation > 0 && !reserve(reservation, now)) {
            return;
        }
        FleetTable table = issuer.issue(version, now, current, plan.weights());
        versionClock.onIssued(version);
        current = table;
        highestVersion = version;
    }

    /** Writes a reservation; without one no table is issued, since a restart could issue the same versions again. */
    private boolean reserve(long reservation, long now) {
        try {
            file.write(new PersistedVersions(reservation), now);
            versionClock.onReserved(reservation);
            failureLog.onSuccess(RESERVE_VERSION);
            return true;
        } catch (IOException failed) {
            failedReservations++;
            failureLog.onFailure(now, RESERVE_VERSION, failed.getMessage());
            return false;
        }
    }

    /** Returns the published table if it is newer than a version and within its lease, else null. Any thread. */
    FleetTable newerThan(long version) {
        FleetTable table = current;
        return table != null && table.version() > version && issuer.isPublishable(table, clock.getAsLong())
                ? table
                : null;
    }

    /** Returns the highest version issued or observed. Any thread. */
    long highestVersion() {
        return highestVersion;
    }

    long rejectedOffers() {
        return inbox.rejected();
    }

    /** Returns the number of versions of other instances that were too far ahead of this clock. */
    long rejectedVersions() {
        return rejectedVersions;
    }

    /** Returns the number of tables that were not issued because their version could not be reserved. */
    long failedReservations() {
        return failedReservations;
    }

    void close() throws IOException {
        file.close();
    }
}
