package peppergauge.fleet.service;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import peppergauge.fleet.disk.KeptFile;
import peppergauge.fleet.disk.KeptVersions;
import peppergauge.fleet.table.Publishing;
import peppergauge.fleet.table.Versions;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.log.Log;
import peppergauge.snapshot.storage.FailureLog;

/** The duty that hands tables out: no version that is not on disk, no plan that is old, none past its lease. */
final class Publisher {

    /** What another instance told; {@code table} is null where it has none. */
    record Seen(long version, FleetTable table) {}

    private static final int SEEN = 64;
    /** A plan, and another's table, that is older than so many rounds shows that somebody does not come on. */
    private static final int ROUNDS = 3;

    private final ServiceSettings settings;
    private final LongSupplier clock;
    private final Latest<Deciding.Plan> plans;
    private final BooleanSupplier onDuty;
    private final KeptFile<KeptVersions> file;
    private final Versions versions;
    private final Publishing publishing;
    private final FailureLog complaints = new FailureLog(line -> Log.line("fleet", line));
    private final Ring<Seen> seen = new Ring<>(SEEN);
    private final long startedMs;
    private Deciding.Plan plan;
    private long issuedMs;
    private volatile FleetTable current;
    private volatile long highest;
    private volatile long unbelieved;
    private volatile long unwritten;

    Publisher(
            ServiceSettings settings,
            LongSupplier clock,
            Latest<Deciding.Plan> plans,
            BooleanSupplier onDuty,
            KeptFile<KeptVersions> file) {
        this.settings = settings;
        this.clock = clock;
        startedMs = clock.getAsLong();
        this.plans = plans;
        this.onDuty = onDuty;
        this.file = file;
        Optional<KeptVersions> before = file.read(line -> Log.line("fleet", line));
        versions = new Versions(
                settings.number(), before.map(KeptVersions::through).orElse(0L));
        publishing = new Publishing(
                settings.site(),
                settings.name(),
                settings.tables().leaseMs(),
                settings.tables().step());
        highest = before.map(KeptVersions::through).orElse(0L);
    }

    /** Any thread; where it is refused the next word of the same instance brings it. */
    void told(Seen news) {
        seen.offer(news);
    }

    boolean step() {
        long now = clock.getAsLong();
        boolean worked = seen.drain(news -> adopt(news, now), SEEN);
        Deciding.Plan newer = plans.take();
        plan = newer == null ? plan : newer;
        if (plan != null && Math.abs(now - issuedMs) >= settings.tables().everyMs() && mayIssue(now)) {
            issuedMs = now;
            issue(now);
        }
        return worked;
    }

    private void adopt(Seen news, long now) {
        if (!versions.seen(news.version(), now)) {
            unbelieved++;
            return;
        }
        highest = Math.max(highest, news.version());
        FleetTable table = news.table();
        if (table != null
                && settings.site().equals(table.site())
                && table.steering() != null
                && (current == null || table.version() > current.version())
                && publishing.handsOut(table, now)
                && table.issuedMs() - now <= settings.limits().futureMs()
                && versions.seen(table.version(), now)) {
            current = table;
        }
    }

    private boolean mayIssue(long now) {
        long rounds = ROUNDS * settings.tables().everyMs();
        boolean fresh = now - plan.viewMs() <= rounds;
        long lastMs = current == null ? startedMs : current.issuedMs();
        return fresh && (onDuty.getAsBoolean() || now - lastMs > rounds);
    }

    private void issue(long now) {
        long version = versions.next(now);
        long reserve = versions.toReserve(version, now);
        if (reserve > 0) {
            try {
                file.write(new KeptVersions(reserve), now);
                versions.reserved(reserve);
                complaints.onSuccess("writing versions");
            } catch (IOException failed) {
                // Without it a restart could hand out what readers have seen: leases run out instead.
                unwritten++;
                complaints.onFailure(now, "no table goes out, for its version cannot be kept", failed.getMessage());
                return;
            }
        }
        FleetTable table = publishing.issue(version, now, current, plan.steering());
        versions.issued(version);
        current = table;
        highest = version;
    }

    /** What a reader that has that version is handed now; null for nothing. Any thread. */
    FleetTable newerThan(long version) {
        FleetTable table = current;
        return table != null && table.version() > version && publishing.handsOut(table, clock.getAsLong())
                ? table
                : null;
    }

    /** The highest version issued or seen; any thread. */
    long highest() {
        return highest;
    }

    long refused() {
        return seen.refused();
    }

    /** Others' versions too far ahead of this clock to be followed. */
    long unbelieved() {
        return unbelieved;
    }

    /** Tables that did not go out. */
    long unwritten() {
        return unwritten;
    }

    void close() throws IOException {
        file.close();
    }
}
