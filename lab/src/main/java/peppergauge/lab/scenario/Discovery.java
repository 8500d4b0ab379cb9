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
 */
public record Discovery(Source source, Duration notice, Duration spread, Duration silentNotice) {

    /** What tells sidecars. */
    public enum Source {
        /** The platform's watch: what it tells is believed as it stands. */
        PLATFORM,
        /** Nomad's service API, asked by the sidecar's own source, behind membership. */
        NOMAD,
        /** Tells everything at once and is never wrong, whatever the script does to it: the measure of the others. */
        PERFECT
    }

    static final Table TABLE = Table.optional("discovery", "What tells sidecars of backend servers, late.",
            Key.preset("source", Types.oneOf(Source.class), "\"platform\"", "What it is: the platform's watch; Nomad's "
            + "service API, asked by the sidecar's own source behind membership; or perfect, which tells all at once."),
            Key.preset("notice", Scenario.time(0, 60_000), "\"1.5 s\"",
                    "Mean time until a change that a server announces is told."),
            Key.preset("spread", Scenario.time(0, 60_000), "\"400 ms\"", "Added for each sidecar, at most."),
            Key.preset("silent-notice", Scenario.time(0, 600_000), "\"8 s\"",
                    "Until it is told that a server has died without a word."));
}
