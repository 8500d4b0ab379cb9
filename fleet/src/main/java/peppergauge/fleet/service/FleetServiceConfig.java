package peppergauge.fleet.service;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.state.CallRate;
import peppergauge.fleet.state.ReportLimits;

/**
 * Configuration of one instance, as read from its operator file.
 *
 * @param site name of the deployment
 * @param name of the instance
 * @param number of the instance, 1 to 255, unique among the instances
 * @param listen address for daemons and other instances
 * @param folder folder of the files with state that survives a restart
 * @param reportRate rate of the daemons' reports
 * @param pollRate rate of the daemons' polls for tables
 */
public record FleetServiceConfig(
        String site,
        String name,
        int number,
        InetSocketAddress listen,
        List<Peer> peers,
        Path folder,
        ReportLimits limits,
        CallRate reportRate,
        CallRate pollRate,
        Membership.Timeouts membershipTimeouts,
        Tables tables,
        Times times,
        Sizes sizes) {

    /**
     * Another instance.
     *
     * @param address {@code host:port}
     */
    public record Peer(String name, String address) {}

    /**
     * Issuing of tables.
     *
     * @param intervalMs time between two tables, ms
     * @param leaseMs lease of each table, ms
     * @param maxStep most that a weight changes from one table to the next
     */
    public record Tables(long intervalMs, long leaseMs, double maxStep) {}

    /**
     * Intervals and timeouts.
     *
     * @param gossipIntervalMs time between two polls of each peer, ms; also the timeout of such a call
     * @param persistIntervalMs time between two writes of the merged state, ms
     * @param stallTimeoutMs duration of a worker's step after which it counts as stalled, ms
     */
    public record Times(long gossipIntervalMs, long persistIntervalMs, long stallTimeoutMs) {}

    /**
     * Sizes.
     *
     * @param maxReportBytes longest request body
     * @param maxConnections most connections open at once
     * @param maxTrafficKeys most traffic keys in the totals
     * @param inboxCapacity messages that may wait for the merge worker
     */
    public record Sizes(int maxReportBytes, int maxConnections, int maxTrafficKeys, int inboxCapacity) {}
}
