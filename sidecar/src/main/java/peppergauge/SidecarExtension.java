package peppergauge;

import java.io.IOException;
import java.util.Map;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.config.Config;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.memory.MessageMemory;
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
 * Extends a sidecar; by default each method adds nothing. The methods that wrap or provide a part are called once, when
 * the sidecar is created; the returned parts are used as long as the sidecar exists.
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

    /** The parts of a sidecar that an extension may use. */
    record Context(
            Config config,
            Settings settings,
            SettingsNames settingsNames,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, PendingRequest> overload,
            ClientConnections clients,
            MessageMemory messageMemory) {}

    /** Wraps the load balancer, for instance to persist its state. */
    default LoadBalancer wrapLoadBalancer(LoadBalancer loadBalancer, Context context) {
        return loadBalancer;
    }

    /** Provides handling of bodies that are too large to be held in memory; by default none is accepted. */
    default LargeBodies largeBodies(Context context) {
        return LargeBodies.NONE;
    }

    /** Wraps the HTTP backend, for instance to add backend servers with another protocol. */
    default Backend wrapBackend(Backend backend, Context context) {
        return backend;
    }

    /** Wraps the dispatcher; every frontend passes its requests to the result. */
    default RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
        return dispatcher;
    }

    /** Replaces the startup policy, which applies to the configured discovery only. */
    default StartupPolicy startupPolicy(StartupPolicy defaultPolicy, Context context) {
        return defaultPolicy;
    }

    /** Whether the configured discovery is watched; if not, the extension supplies the endpoint list. */
    default boolean watchesDiscovery() {
        return true;
    }

    /**
     * Called when the sidecar listens and is not ready yet; starts further listeners and sources of endpoints.
     *
     * @throws IOException if the extension cannot serve, which ends the sidecar
     */
    default void onStarting(RequestHandler requestHandler, RequestDispatcher dispatcher, Context context)
            throws IOException, InterruptedException {}

    /**
     * Called when {@code Sidecar.reload} has reread the configuration; may be called repeatedly. Must ignore invalid
     * changes.
     */
    default void onReload(Map<String, String> environment) {}

    /** Called in a graceful shutdown, after the listener is closed and before open requests are completed. */
    default void onStopping() {}

    /** Called when the event loop has been closed; requests that were still open have been aborted. */
    default void onStopped() {}
}
