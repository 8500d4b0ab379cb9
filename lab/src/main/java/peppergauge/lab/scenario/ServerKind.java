package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * One {@code [[servers]]}: backend servers that are alike. Work is counted in ms of a standard core.
 *
 * @param speed of a core, in standard cores
 * @param speedSpread by how much servers of the kind differ, as a share
 * @param slots requests in work at once, a core
 * @param room requests that may wait, a core; what finds it full is turned away
 * @param coldFrom share of the capacity right after a start
 * @param coldTime until a cold server is warm: in time, or in work as one busy core does it
 * @param errors share of requests that fail at any time
 * @param dropsExpired whether a request whose sender no longer waits is turned away when its turn comes
 * @param connectionWork what a new connection costs
 * @param connections open at most, a core
 * @param memoryKeys keys remembered, 0 for none
 * @param memoryTime for how long
 * @param memorySaving share of the work that a remembered key saves
 * @param pauseEvery mean time between pauses; zero for none
 * @param chokeAt requests held for each core from which on it may choke; 0 for never
 * @param chokeOver for how long
 * @param chokeSlower by how much slower it then is
 * @param chokeRest until it was idle for so long
 * @param chokeMost or until so long has passed
 */
public record ServerKind(
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
                    Scenario.time(0, 600_000),
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
                    Scenario.time(0, 1_000),
                    "\"4 ms\"",
                    "What a new connection costs, as time on a standard core."),
            Key.preset("connections", Types.wholeNumber(1, 100_000), "750", "Open at most, a core."),
            Key.preset(
                    "probe-work",
                    Scenario.time(0, 1_000),
                    "\"0.3 ms\"",
                    "What a probe costs, as time on a standard core."),
            Key.preset("memory-keys", Types.wholeNumber(0, 100_000), "0", "Keys that it remembers."),
            Key.preset("memory-time", Scenario.time(0, 600_000), "\"6 s\"", "For how long it remembers a key."),
            Key.preset("memory-saving", Types.number(0, 0.99), "0.4", "Share of the work that this saves."),
            Key.preset(
                    "pause-every",
                    Scenario.time(0, 600_000),
                    "\"0 s\"",
                    "Mean time between pauses, such as garbage collections; 0 for none."),
            Key.preset("pause-length", Scenario.time(0, 60_000), "\"50 ms\"", "How long one takes."),
            Key.preset(
                    "choke-at",
                    Types.number(0, 1_000),
                    "0",
                    "Requests held for each core from which on it chokes; 0 for never."),
            Key.preset("choke-over", Scenario.time(1, 60_000), "\"2 s\"", "Once it held as many for so long."),
            Key.preset("choke-slower", Types.number(1, 100), "3", "How many times slower it is then."),
            Key.preset(
                    "choke-rest",
                    Scenario.time(1, 600_000),
                    "\"3 s\"",
                    "It chokes until it was mostly idle for so long."),
            Key.preset("choke-most", Scenario.time(1, 600_000), "\"25 s\"", "But for no longer than this."));

    /** The same with another count. */
    public ServerKind counted(long other) {
        return new ServerKind(
                name,
                other,
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
