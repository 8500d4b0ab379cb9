package peppergauge.lab.scenario;

import java.time.Duration;
import peppergauge.operator.Key;
import peppergauge.operator.Table;
import peppergauge.operator.Types;

/**
 * Section {@code [discovery]}: the service from which sidecars receive endpoint updates, with a delay.
 *
 * @param source where endpoint updates come from
 * @param notice mean delay of the update about a change that the server announces
 * @param spread maximum additional delay of one sidecar
 * @param silentNotice delay of the update about a server that died without announcing it
 * @param calls calls per second that the platform's discovery answers, one after the other; 0 for no limit
 * @param answered share of the calls that are answered at all, if {@code calls} limits them
 * @param pace how sidecars call discovery, if {@code calls} limits the calls
 */
public record Discovery(
        Source source,
        Duration notice,
        Duration spread,
        Duration silentNotice,
        double calls,
        double answered,
        Pace pace) {

    /** How sidecars call discovery at their start. */
    public enum Pace {
        /** Like the sidecars of the platform, whose discovery is an agent on their own machine. */
        PROMPT,
        /** As with {@code [start]} in the operator file, set to half of the calls that discovery answers. */
        SPREAD
    }

    /** Where endpoint updates come from. */
    public enum Source {
        /** The watch of the platform; sidecars trust its updates without checks. */
        PLATFORM,
        /** Nomad's service API, polled by the sidecar's Nomad source, with membership checks. */
        NOMAD,
        /** Immediate and correct updates, whatever incidents hit discovery; a baseline for the other sources. */
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
                    Scenario.duration(0, 60_000),
                    "\"1.5 s\"",
                    "Mean time until a change that a server announces is told."),
            Key.preset("spread", Scenario.duration(0, 60_000), "\"400 ms\"", "Added for each sidecar, at most."),
            Key.preset(
                    "silent-notice",
                    Scenario.duration(0, 600_000),
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
