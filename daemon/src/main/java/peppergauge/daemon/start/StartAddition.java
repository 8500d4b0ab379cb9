package peppergauge.daemon.start;

import java.util.List;
import peppergauge.Additions;
import peppergauge.coldstart.Readiness;
import peppergauge.coldstart.SpreadPace;
import peppergauge.coldstart.Start;

/**
 * What {@code [start]} adds: the pace of calls to discovery, and when this sidecar is ready. Which servers it greets,
 * whether to try again and what is denied stay the module's.
 */
public record StartAddition(SpreadPace.Settings pace, Readiness readiness) implements Additions {

    @Override
    public Start start(Start prompt, Parts parts) {
        boolean knows = parts.config().known().get("servers") instanceof List<?> servers && !servers.isEmpty();
        return Start.spread(
                pace,
                readiness,
                parts.settings().balancers(),
                knows ? SpreadPace.Known.SOMETHING : SpreadPace.Known.NOTHING,
                parts.config().ownSeed());
    }
}
