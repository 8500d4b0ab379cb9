package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * {@code [discovery]}: what tells sidecars of backend servers, late.
 *
 * @param source what it is
 * @param notice until a change of a server that says so is told, mean
 * @param spread between sidecars, added at most
 * @param silentNotice until it is told that a server has died without a word
 * @param calls that the platform's answers in a second, each in its turn; 0: any number at once
 * @param answered share of the calls that it answers at all, where {@code calls} bounds them
 * @param pace at which sidecars ask it, where {@code calls} bounds them
 */
public record Discovery(
        Source source,
        Duration notice,
        Duration spread,
        Duration silentNotice,
        double calls,
        double answered,
        Pace pace) {

    /** How sidecars start. */
    public enum Pace {
        /** As the platform's do, whose discovery is an agent on their own machine. */
        PROMPT,
        /** As with {@code [start]} in the operator's file, with half of the calls that discovery answers. */
        SPREAD
    }

    /** What tells sidecars. */
    public enum Source {
        /** The platform's watch: what it tells is believed as it stands. */
        PLATFORM,
        /** Nomad's service API, asked by the sidecar's own source, behind membership. */
        NOMAD,
        /** Tells everything at once and is never wrong, whatever the script does to it: the measure of the others. */
        PERFECT
    }

    static final Table TABLE = Table.optional(
            "discovery",
            "What tells sidecars of backend servers, late.",
            Key.preset(
                    "source",
                    Types.oneOf(Source.class),
                    "\"platform\"",
                    "What it is: the platform's watch; Nomad's "
                            + "service API, asked by the sidecar's own source behind membership; "
                            + "or perfect, which tells all at once."),
            Key.preset(
                    "notice",
                    Scenario.time(0, 60_000),
                    "\"1.5 s\"",
                    "Mean time until a change that a server announces is told."),
            Key.preset("spread", Scenario.time(0, 60_000), "\"400 ms\"", "Added for each sidecar, at most."),
            Key.preset(
                    "silent-notice",
                    Scenario.time(0, 600_000),
                    "\"8 s\"",
                    "Until it is told that a server has died without a word."),
            Key.preset(
                    "calls",
                    Types.number(0, 1_000_000),
                    "0",
                    "Calls a second that the platform's answers, each in "
                            + "its turn; 0: any number at once. For the emulator."),
            Key.preset("answered", Types.number(0, 1), "1", "Share of these calls that it answers at all."),
            Key.preset(
                    "pace",
                    Types.oneOf(Pace.class),
                    "\"prompt\"",
                    "How sidecars start and ask then: as the "
                            + "platform's do, or as with [start] in the operator's file and "
                            + "half of the calls that are answered."));
}
