package peppergauge.fleet.service;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.state.Limits;
import peppergauge.fleet.state.Pace;

/**
 * One instance's settings; the file of kind {@code fleet} says what each is for.
 *
 * @param number from 1 to 255, its own
 * @param folder for what outlives the process
 */
public record ServiceSettings(
        String site,
        String name,
        int number,
        InetSocketAddress listen,
        List<Peer> peers,
        Path folder,
        Limits limits,
        Pace reports,
        Pace asks,
        Membership.Patience patience,
        Tables tables,
        Times times,
        Sizes sizes) {

    /** Another instance. @param address host:port */
    public record Peer(String name, String address) {}

    /** @param step by how much a factor may move from one table to the next */
    public record Tables(long everyMs, long leaseMs, double step) {}

    /** @param stallMs one step of a duty that takes longer makes it stalled */
    public record Times(long gossipMs, long keepMs, long stallMs) {}

    /** @param ring places in the ring before the merge */
    public record Sizes(int reportBytes, int connections, int cells, int ring) {}
}
