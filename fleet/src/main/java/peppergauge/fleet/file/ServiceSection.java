package peppergauge.fleet.file;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.service.FleetServiceConfig;
import peppergauge.fleet.state.CallRate;
import peppergauge.fleet.state.ReportLimits;
import peppergauge.operator.Key;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/** Sections {@code [service]} and {@code [[service.peer]]}: one instance of the fleet service. */
public final class ServiceSection implements Section {

    private static final Key<String> SITE = Key.required(
            "site",
            Types.name(),
            "\"north\"",
            "The deployment that it serves; reports and tables of another are turned away.");
    private static final Key<String> NAME = Key.required(
            "name",
            Types.name(),
            "\"fleet-1\"",
            "Its own name among the instances; of those that are there the first by name issues tables.");
    private static final Key<Long> NUMBER = Key.required(
            "number",
            Types.wholeNumber(1, 255),
            "1",
            "Its own number among the instances, part of the versions that it issues; never another's.");
    private static final Key<String> LISTEN = Key.required(
            "listen",
            HostAndPort.TYPE,
            "\"127.0.0.1:7101\"",
            "Where daemons and the other instances reach it. Whoever does can report: to be open to them only.");
    private static final Key<String> FOLDER = Key.required(
            "folder",
            Types.text(1, 4_000),
            "\"/var/lib/peppergauge-fleet\"",
            "Folder that outlives it, for its user alone (0700); made if only it" + " itself is missing.");
    private static final Key<Double> REPORTS = Key.preset(
            "reports-per-second",
            Types.number(0.1, 10_000),
            "50",
            "Reports of all daemons together: the interval that each is told follows from it.");
    private static final Key<Double> ASKS =
            Key.preset("asks-per-second", Types.number(0.1, 10_000), "300", "The same for their asks for tables.");
    private static final Key<Duration> LEAST = Key.preset(
            "least-interval", Types.ms(100, 600_000), "\"2 s\"", "Shortest interval of either that a daemon is told.");
    private static final Key<Duration> MOST = Key.preset(
            "longest-interval",
            Types.ms(100, 3_600_000),
            "\"2 min\"",
            "Longest of either; with more daemons than that allows for, the cost grows.");
    private static final Key<Duration> LATE =
            Key.preset("late", Types.ms(100, 3_600_000), "\"30 s\"", "A report that was sent longer ago is late.");
    private static final Key<Duration> SKEW = Key.preset(
            "clock-skew",
            Types.ms(0, 600_000),
            "\"5 s\"",
            "By how far clocks may differ; what was sent later than that from now is refused.");
    private static final Key<Duration> FORGET = Key.preset(
            "forget-after",
            Types.ms(1_000, 604_800_000),
            "\"24 h\"",
            "A daemon that has been silent for so long is forgotten; what it counted stays in the totals.");
    private static final Key<Long> DAEMONS = Key.preset(
            "most-daemons",
            Types.wholeNumber(1, 100_000),
            "4000",
            "Daemons held at once; further ones are turned away.");
    private static final Key<Long> HELD = Key.preset(
            "most-held",
            Types.size(1 << 20, 4L << 30),
            "\"32 MiB\"",
            "Bytes that all accounts take, as on the wire; in memory they take some three times as much. From four"
                    + " fifths on further daemons are turned away.");
    private static final Key<Long> CELLS = Key.preset(
            "most-cells",
            Types.wholeNumber(1, 100_000),
            "2000",
            "Cells (station, class, zone) in a report, and in the totals.");
    private static final Key<Long> REPORT_SIZE =
            Key.preset("report-size", Types.size(1 << 10, 4 << 20), "\"1 MiB\"", "Largest body taken.");
    private static final Key<Long> CONNECTIONS = Key.preset(
            "connections", Types.wholeNumber(4, 100_000), "2000", "Connections open at once; further ones are closed.");
    private static final Key<Long> RING = Key.preset(
            "ring",
            Types.wholeNumber(4, 1 << 20),
            "1024",
            "Reports that may wait for the merge; further ones are told to come again.");
    private static final Key<Duration> EVERY =
            Key.preset("table-every", Types.ms(100, 600_000), "\"5 s\"", "Time between two tables.");
    private static final Key<Duration> LEASE = Key.preset(
            "lease",
            Types.ms(1_000, 3_600_000),
            "\"3 min\"",
            "How long a table holds; in its second half readers fade it out.");
    private static final Key<Double> STEP = Key.preset(
            "step", Types.number(0.01, 1), "0.1", "By how much any factor may move from one table to the next.");
    private static final Key<Duration> GOSSIP = Key.preset(
            "gossip-every", Types.ms(50, 60_000), "\"1 s\"", "Time between two asks at each other instance.");
    private static final Key<Duration> SUSPECT = Key.preset(
            "suspect-after", Types.ms(200, 600_000), "\"5 s\"", "Silence after which another instance is suspect.");
    private static final Key<Duration> DEAD =
            Key.preset("dead-after", Types.ms(200, 600_000), "\"5 s\"", "Further silence after which it is dead.");
    private static final Key<Duration> KEEP = Key.preset(
            "keep-every", Types.ms(100, 3_600_000), "\"30 s\"", "Time between two writings of what was merged.");
    private static final Key<Duration> STALL = Key.preset(
            "stall-after",
            Types.ms(100, 600_000),
            "\"5 s\"",
            "A duty that is at one thing for longer is told of as stalled.");

    private static final Key<String> PEER_NAME = Key.required("name", Types.name(), "\"fleet-2\"", "Its name.");
    private static final Key<String> PEER_ADDRESS =
            Key.required("address", HostAndPort.TYPE, "\"127.0.0.1:7102\"", "Where it listens.");
    private static final Table PEER = Table.repeated(
            "peer", 0, 8, "Another instance. Three in all bear the loss of two.", PEER_NAME, PEER_ADDRESS);

    public static final Table TABLE = Table.required(
                    "service",
                    "One instance of the fleet service.",
                    SITE,
                    NAME,
                    NUMBER,
                    LISTEN,
                    FOLDER,
                    REPORTS,
                    ASKS,
                    LEAST,
                    MOST,
                    LATE,
                    SKEW,
                    FORGET,
                    DAEMONS,
                    HELD,
                    CELLS,
                    REPORT_SIZE,
                    CONNECTIONS,
                    RING,
                    EVERY,
                    LEASE,
                    STEP,
                    GOSSIP,
                    SUSPECT,
                    DEAD,
                    KEEP,
                    STALL)
            .with(PEER);

    @Override
    public Table table() {
        return TABLE;
    }

    @Override
    public void check(Values file, Problems problems) {
        Values values = file.get(TABLE);
        if (values.get(LEAST).compareTo(values.get(MOST)) > 0) {
            problems.add(values.place(LEAST), "service.least-interval", "must not be longer than longest-interval");
        }
        if (values.get(LEASE).compareTo(values.get(EVERY).multipliedBy(6)) < 0) {
            problems.add(values.place(LEASE), "service.lease", "must be at least six times table-every");
        }
        if (values.get(FORGET).compareTo(values.get(MOST).multipliedBy(4)) < 0) {
            problems.add(values.place(FORGET), "service.forget-after", "must be at least four times longest-interval");
        }
        Set<String> names = new HashSet<>(Set.of(values.get(NAME)));
        values.all(PEER).forEach(peer -> {
            if (!names.add(peer.get(PEER_NAME))) {
                problems.add(peer.place(PEER_NAME), "service.peer.name", "is another instance's, too");
            }
        });
    }

    /**
     * Returns the configuration of an instance.
     *
     * @param file of kind {@link FleetFile#KIND}, read without a problem
     */
    public static FleetServiceConfig settings(Values file) {
        Values values = file.get(TABLE);
        long least = values.get(LEAST).toMillis();
        long most = values.get(MOST).toMillis();
        InetSocketAddress listen = HostAndPort.resolved(values.get(LISTEN));
        return new FleetServiceConfig(
                values.get(SITE),
                values.get(NAME),
                values.get(NUMBER).intValue(),
                listen,
                values.all(PEER).stream()
                        .map(peer -> new FleetServiceConfig.Peer(peer.get(PEER_NAME), peer.get(PEER_ADDRESS)))
                        .toList(),
                Path.of(values.get(FOLDER)),
                new ReportLimits(
                        values.get(LATE).toMillis(),
                        values.get(SKEW).toMillis(),
                        values.get(FORGET).toMillis(),
                        values.get(DAEMONS).intValue(),
                        values.get(CELLS).intValue(),
                        values.get(HELD)),
                new CallRate(values.get(REPORTS), least, most),
                new CallRate(values.get(ASKS), least, most),
                new Membership.Timeouts(
                        values.get(SUSPECT).toMillis(), values.get(DEAD).toMillis()),
                new FleetServiceConfig.Tables(
                        values.get(EVERY).toMillis(), values.get(LEASE).toMillis(), values.get(STEP)),
                new FleetServiceConfig.Times(
                        values.get(GOSSIP).toMillis(),
                        values.get(KEEP).toMillis(),
                        values.get(STALL).toMillis()),
                new FleetServiceConfig.Sizes(
                        values.get(REPORT_SIZE).intValue(),
                        values.get(CONNECTIONS).intValue(),
                        values.get(CELLS).intValue(),
                        values.get(RING).intValue()));
    }
}
