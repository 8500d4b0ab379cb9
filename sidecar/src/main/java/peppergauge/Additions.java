package peppergauge;

import java.io.IOException;
import java.util.Map;
import peppergauge.coldstart.Start;
import peppergauge.config.Config;
import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.Settings;
import peppergauge.overload.Overload;
import peppergauge.session.Backend;
import peppergauge.session.Bodies;
import peppergauge.session.Clock;
import peppergauge.session.Intake;
import peppergauge.session.Sessions;
import peppergauge.settings.SiteNames;
import peppergauge.sockets.Claimant;
import peppergauge.sockets.Clients;
import peppergauge.sockets.Loop;

/**
 * What an installation adds to the plain sidecar that the platform runs: each method's default adds nothing. Called
 * once each, in the order in which they stand here; what they hand out lives as long as the sidecar.
 */
public interface Additions {

    /** Of the platform's sidecar. */
    Additions NONE = new Additions() {};

    /** Can stand before any intake, so that several can stand one before another. */
    interface Before extends Additions {

        Intake intake(Intake next, Parts parts);

        @Override
        default Intake intake(Sessions sessions, Parts parts) {
            return intake((Intake) sessions, parts);
        }
    }

    /** What a sidecar is put together from. */
    record Parts(
            Config config,
            Settings settings,
            SiteNames names,
            Clock clock,
            Loop loop,
            Overload<Claimant, Sessions.Newcomer> overload,
            Clients clients) {}

    /** Stands round the module: what it learned may be kept, and given back to it. */
    default Balancer balancer(Balancer module, Parts parts) {
        return module;
    }

    /** Takes bodies that are too long to be held whole; by default none is. */
    default Bodies bodies(Parts parts) {
        return Bodies.NONE;
    }

    /** Stands round or beside the HTTP backend, for servers that speak something else. */
    default Backend backend(Backend http, Parts parts) {
        return http;
    }

    /** Stands before the sessions: every frontend hands its own to this. */
    default Intake intake(Sessions sessions, Parts parts) {
        return sessions;
    }

    /** How it starts beside others; of the platform's discovery only. */
    default Start start(Start prompt, Parts parts) {
        return prompt;
    }

    /** Whether the platform's discovery is watched; if not, something added tells the sessions their server table. */
    default boolean watchesDiscovery() {
        return true;
    }

    /**
     * The sidecar listens and is not ready yet: further listeners and sources start here.
     *
     * @throws IOException if it cannot serve as it should; the sidecar ends
     */
    default void starting(Intake intake, Sessions sessions, Parts parts) throws IOException, InterruptedException {}

    /** SIGHUP; the environment is that of the start. What cannot be used changes nothing. */
    default void reload(Map<String, String> environment) {}

    /** Told to end: nothing new is accepted any more, and open sessions are finished next. */
    default void stopping() {}

    /** All sessions are over. */
    default void stopped() {}
}
