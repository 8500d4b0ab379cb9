package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [[servers]]}: a group of equal backend servers. Work is measured in ms of a standard core.
 *
 * @param name name of the group; its servers are named by it and a number
 * @param count number of servers
 * @param cores cores of each server
 * @param speed speed of a core, relative to a standard core
 * @param speedSpread by how much the speeds of the servers differ, as a share
 * @param slots requests that each core executes at once
 * @param room length of the queue per core; a request that finds the queue full is rejected
 * @param coldFrom share of the capacity right after a start
 * @param coldTime time until a cold server is warm, or the work that a busy core does in this time
 * @param warmBy whether time or work warms a server up
 * @param errors share of requests that fail at any time
 * @param dropsExpired whether a queued request is rejected at its turn if its sender no longer waits
 * @param connectionWork work of accepting a new connection
 * @param connections maximum number of open connections per core
 * @param probeWork work of a probe
 * @param memoryKeys number of keys in the server's cache, 0 for no cache
 * @param memoryTime how long a key stays in the cache
 * @param memorySaving share of the work that a cached key saves
 * @param pauseEvery mean time between pauses; zero for no pauses
 * @param pauseLength duration of a pause
 * @param chokeAt requests in flight per core from which on the server may choke under overload; 0 for never
 * @param chokeOver how long it must hold as many requests before it chokes
 * @param chokeSlower factor by which a choked server is slower
 * @param chokeRest it recovers once it was mostly idle for this time
 * @param chokeMost maximum time for which it stays choked
 */
public record ServerGroup(
        String name,
        long count,
        long cores,
        double speed,
        double speedSpread,
        long slots,
        long room,
        double coldFrom,
        Duration coldTime,
        WarmBy warmBy,
        double errors,
        boolean dropsExpired,
        Duration connectionWork,
        long connections,
        Duration probeWork,
        long memoryKeys,
        Duration memoryTime,
        double memorySaving,
        Duration pauseEvery,
        Duration pauseLength,
        double chokeAt,
        Duration chokeOver,
        double chokeSlower,
        Duration chokeRest,
        Duration chokeMost) {

    /** What warms a cold server up. */
    public enum WarmBy {
        TIME,
        WORK
    }

    static final Table TABLE = Table.repeated(
            "servers",
            1,
            32,
            "Backend servers that are alike.",
            Key.required("name", Types.name(), "\"gen-a\"", "Servers are named by it and a number: gen-a-1."),
            Key.required("count", Types.wholeNumber(1, 1_000), "6", "How many."),
            Key.preset("cores", Types.wholeNumber(1, 256), "2", "Cores of each."),
            Key.preset("speed", Types.number(0.01, 100), "1", "Speed of a core, in standard cores."),
            Key.preset("speed-spread", Types.number(0, 0.9), "0.1", "How much they differ, as a share."),
            Key.preset("slots", Types.wholeNumber(1, 1_000), "4", "Requests in work at once, a core."),
            Key.preset(
                    "room",
                    Types.wholeNumber(0, 10_000),
                    "24",
                    "Requests that may wait, a core; what finds no room is turned away."),
            Key.preset("cold-from", Types.number(0.01, 1), "0.4", "Share of the capacity right after a start."),
            Key.preset(
                    "cold-time",
                    Scenario.duration(0, 600_000),
                    "\"6 s\"",
                    "Until it is warm; by work: until it did what it does in this time when warm and busy."),
            Key.preset("warm-by", Types.oneOf(WarmBy.class), "\"time\"", "What warms it up."),
            Key.preset("errors", Types.number(0, 1), "0", "Share of requests that fail at any time."),
            Key.preset(
                    "drops-expired",
                    Types.flag(),
                    "false",
                    "Whether a request that is past its time is turned away when its turn comes."),
            Key.preset(
                    "connection-work",
                    Scenario.duration(0, 1_000),
                    "\"4 ms\"",
                    "What a new connection costs, as time on a standard core."),
            Key.preset("connections", Types.wholeNumber(1, 100_000), "750", "Open at most, a core."),
            Key.preset(
                    "probe-work",
                    Scenario.duration(0, 1_000),
                    "\"0.3 ms\"",
                    "What a probe costs, as time on a standard core."),
            Key.preset("memory-keys", Types.wholeNumber(0, 100_000), "0", "Keys that it remembers."),
            Key.preset("memory-time", Scenario.duration(0, 600_000), "\"6 s\"", "For how long it remembers a key."),
            Key.preset("memory-saving", Types.number(0, 0.99), "0.4", "Share of the work that this saves."),
            Key.preset(
                    "pause-every",
                    Scenario.duration(0, 600_000),
                    "\"0 s\"",
                    "Mean time between pauses, such as garbage collections; 0 for none."),
            Key.preset("pause-length", Scenario.duration(0, 60_000), "\"50 ms\"", "How long one takes."),
            Key.preset(
                    "choke-at",
                    Types.number(0, 1_000),
                    "0",
                    "Requests held for each core from which on it chokes; 0 for never."),
            Key.preset("choke-over", Scenario.duration(1, 60_000), "\"2 s\"", "Once it held as many for so long."),
            Key.preset("choke-slower", Types.number(1, 100), "3", "How many times slower it is then."),
            Key.preset(
                    "choke-rest",
                    Scenario.duration(1, 600_000),
                    "\"3 s\"",
                    "It chokes until it was mostly idle for so long."),
            Key.preset("choke-most", Scenario.duration(1, 600_000), "\"25 s\"", "But for no longer than this."));

    /** Returns the same group with another number of servers. */
    public ServerGroup counted(long otherCount) {
        return new ServerGroup(
                name,
                otherCount,
                cores,
                speed,
                speedSpread,
                slots,
                room,
                coldFrom,
                coldTime,
                warmBy,
                errors,
                dropsExpired,
                connectionWork,
                connections,
                probeWork,
                memoryKeys,
                memoryTime,
                memorySaving,
                pauseEvery,
                pauseLength,
                chokeAt,
                chokeOver,
                chokeSlower,
                chokeRest,
                chokeMost);
    }
}
