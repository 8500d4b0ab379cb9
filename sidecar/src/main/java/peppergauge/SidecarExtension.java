package peppergauge;

import java.io.IOException;
import java.util.Map;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.config.Config;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.overload.OverloadController;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.PendingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.settings.SettingsNames;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;

/**
 * What an installation adds to the plain sidecar that the platform runs: each method's default adds nothing. Called
 * once each, in the order in which they stand here; what they hand out lives as long as the sidecar.
 */
public interface SidecarExtension {

    /** Of the platform's sidecar. */
    SidecarExtension NONE = new SidecarExtension() {};

    /** Can stand before any intake, so that several can stand one before another. */
    interface RequestInterceptor extends SidecarExtension {

        RequestHandler wrapRequestHandler(RequestHandler next, Context parts);

        @Override
        default RequestHandler wrapRequestHandler(RequestDispatcher sessions, Context parts) {
            return wrapRequestHandler((RequestHandler) sessions, parts);
        }
    }

    /** What a sidecar is put together from. */
    record Context(
            Config config,
            Settings settings,
            SettingsNames settingsNames,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, PendingRequest> overload,
            ClientConnections clients) {}

    /** Stands round the module: what it learned may be kept, and given back to it. */
    default LoadBalancer wrapLoadBalancer(LoadBalancer module, Context parts) {
        return module;
    }

    /** Takes bodies that are too long to be held whole; by default none is. */
    default LargeBodies largeBodies(Context parts) {
        return LargeBodies.NONE;
    }

    /** Stands round or beside the HTTP backend, for servers that speak something else. */
    default Backend wrapBackend(Backend http, Context parts) {
        return http;
    }

    /** Stands before the sessions: every frontend hands its own to this. */
    default RequestHandler wrapRequestHandler(RequestDispatcher sessions, Context parts) {
        return sessions;
    }

    /** How it starts beside others; of the platform's discovery only. */
    default StartupPolicy startupPolicy(StartupPolicy prompt, Context parts) {
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
    default void onStarting(RequestHandler intake, RequestDispatcher sessions, Context parts)
            throws IOException, InterruptedException {}

    /** SIGHUP; the environment is that of the start. What cannot be used changes nothing. */
    default void onReload(Map<String, String> environment) {}

    /** Told to end: nothing new is accepted any more, and open sessions are finished next. */
    default void onStopping() {}

    /** All sessions are over. */
    default void onStopped() {}
}
