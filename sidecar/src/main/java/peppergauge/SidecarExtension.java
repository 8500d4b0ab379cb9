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
 * Extends the plain sidecar; by default each method adds nothing. The methods that wrap or
 * provide a part are called once, when the sidecar is created; what they return lives as long as the sidecar.
 */
public interface SidecarExtension {

    /** Adds nothing. */
    SidecarExtension NONE = new SidecarExtension() {};

    /** An extension that can intercept any request handler, so that several can be chained. */
    interface RequestInterceptor extends SidecarExtension {

        RequestHandler wrapRequestHandler(RequestHandler next, Context context);

        @Override
        default RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
            return wrapRequestHandler((RequestHandler) dispatcher, context);
        }
    }

    /** What a sidecar is composed of. */
    record Context(
            Config config,
            Settings settings,
            SettingsNames settingsNames,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, PendingRequest> overload,
            ClientConnections clients) {}

    /** Wraps the load balancer, for instance to persist its state. */
    default LoadBalancer wrapLoadBalancer(LoadBalancer loadBalancer, Context context) {
        return loadBalancer;
    }

    /** Provides handling of bodies that are too large to be held in memory; by default none is accepted. */
    default LargeBodies largeBodies(Context context) {
        return LargeBodies.NONE;
    }

    /** Wraps or complements the HTTP backend, for servers with another protocol. */
    default Backend wrapBackend(Backend backend, Context context) {
        return backend;
    }

    /** Wraps the dispatcher; every frontend passes its requests to the result. */
    default RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
        return dispatcher;
    }

    /** Replaces the startup policy; applies to the discovery of the plain sidecar only. */
    default StartupPolicy startupPolicy(StartupPolicy defaultPolicy, Context context) {
        return defaultPolicy;
    }

    /** Whether the configured discovery is watched; if not, the extension supplies the endpoint list. */
    default boolean watchesDiscovery() {
        return true;
    }

    /**
     * The sidecar listens and is not ready yet: further listeners and sources are started here.
     *
     * @throws IOException if it cannot serve; the sidecar ends
     */
    default void onStarting(RequestHandler requestHandler, RequestDispatcher dispatcher, Context context)
            throws IOException, InterruptedException {}

    /**
     * {@code Sidecar.reload} read the configuration again; may be called repeatedly. Invalid changes change nothing.
     */
    default void onReload(Map<String, String> environment) {}

    /** A graceful shutdown has started: no connection is accepted any more, open requests are completed next. */
    default void onStopping() {}

    /** The event loop has been closed; requests that were still open have been cut off. */
    default void onStopped() {}
}
