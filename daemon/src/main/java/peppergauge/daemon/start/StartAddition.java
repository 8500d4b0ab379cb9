package peppergauge.daemon.start;

import java.util.List;
import peppergauge.Additions;
import peppergauge.coldstart.Greeting;
import peppergauge.coldstart.Readiness;
import peppergauge.coldstart.SpreadPace;
import peppergauge.coldstart.Start;
import peppergauge.session.Backend;

/**
 * What {@code [start]} adds. It bounds paces and says when this sidecar is ready; which server is drawn, whether to try
 * again and what is denied stay the module's.
 */
public record StartAddition(SpreadPace.Settings pace, Readiness readiness, Greeting.Settings greeting)
        implements Additions {

    @Override
    public Start start(Start prompt, Parts parts) {
        boolean knows = parts.config().known().get("servers") instanceof List<?> servers
                && !servers.isEmpty();
        return Start.spread(pace, readiness, parts.settings().balancers(),
                knows ? SpreadPace.Known.SOMETHING : SpreadPace.Known.NOTHING, parts.config().ownSeed());
    }

    @Override
    public Backend backend(Backend http, Parts parts) {
        return new Greeted(http, new Greeting(greeting, parts.settings().balancers(), parts.clock().nowMs()),
                parts.loop(), parts.clock());
    }
}
