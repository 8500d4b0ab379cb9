package peppergauge.daemon.subsystem;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import peppergauge.SidecarExtension;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.decision.LoadBalancer;
import peppergauge.log.Log;
import peppergauge.request.Backend;
import peppergauge.request.LargeBodies;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;

/** Combines several extensions into one, in the given order: the first is the outermost. */
public final class CompositeExtension implements SidecarExtension {

    private final List<SidecarExtension> outermostFirst;
    private final List<SidecarExtension> innermostFirst;

    public CompositeExtension(List<SidecarExtension> outermostFirst) {
        this.outermostFirst = List.copyOf(outermostFirst);
        List<SidecarExtension> reversed = new ArrayList<>(outermostFirst);
        Collections.reverse(reversed);
        innermostFirst = List.copyOf(reversed);
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer loadBalancer, Context context) {
        LoadBalancer wrapped = loadBalancer;
        for (SidecarExtension extension : innermostFirst) {
            wrapped = extension.wrapLoadBalancer(wrapped, context);
        }
        return wrapped;
    }

    /** Returns the large bodies of the extension that accepts them. At most one extension does. */
    @Override
    public LargeBodies largeBodies(Context context) {
        LargeBodies chosen = LargeBodies.NONE;
        for (SidecarExtension extension : outermostFirst) {
            LargeBodies own = extension.largeBodies(context);
            chosen = own == LargeBodies.NONE ? chosen : own;
        }
        return chosen;
    }

    @Override
    public Backend wrapBackend(Backend http, Context context) {
        Backend wrapped = http;
        for (SidecarExtension extension : innermostFirst) {
            wrapped = extension.wrapBackend(wrapped, context);
        }
        return wrapped;
    }

    /**
     * Chains the interceptors in front of the dispatcher. At most one extension that is not a
     * {@link SidecarExtension.RequestInterceptor} may wrap the dispatcher itself.
     *
     * @throws IllegalStateException if two such extensions wrap the dispatcher
     */
    @Override
    public RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
        RequestHandler wrapped = dispatcher;
        for (SidecarExtension extension : innermostFirst) {
            if (!(extension instanceof RequestInterceptor)) {
                RequestHandler own = extension.wrapRequestHandler(dispatcher, context);
                if (own != dispatcher && wrapped != dispatcher) {
                    throw new IllegalStateException("two extensions wrap the request dispatcher, at most one may");
                }
                wrapped = own == dispatcher ? wrapped : own;
            }
        }
        for (SidecarExtension extension : innermostFirst) {
            if (extension instanceof RequestInterceptor interceptor) {
                wrapped = interceptor.wrapRequestHandler(wrapped, context);
            }
        }
        return wrapped;
    }

    @Override
    public StartupPolicy startupPolicy(StartupPolicy policy, Context context) {
        StartupPolicy wrapped = policy;
        for (SidecarExtension extension : outermostFirst) {
            wrapped = extension.startupPolicy(wrapped, context);
        }
        return wrapped;
    }

    /** Returns whether no extension replaces the watch of discovery. */
    @Override
    public boolean watchesDiscovery() {
        return outermostFirst.stream().allMatch(SidecarExtension::watchesDiscovery);
    }

    @Override
    public void onStarting(RequestHandler requestHandler, RequestDispatcher dispatcher, Context context)
            throws IOException, InterruptedException {
        for (SidecarExtension extension : outermostFirst) {
            extension.onStarting(requestHandler, dispatcher, context);
        }
    }

    @Override
    public void onReload(Map<String, String> environment) {
        outermostFirst.forEach(extension -> extension.onReload(environment));
    }

    @Override
    public void onStopping() {
        outermostFirst.forEach(extension -> runLogged(extension::onStopping));
    }

    @Override
    public void onStopped() {
        outermostFirst.forEach(extension -> runLogged(extension::onStopped));
    }

    /** Runs the shutdown of one extension, and logs its failure so that the others are shut down, too. */
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException bug) {
            Log.error("extension_shutdown_failed", bug);
        }
    }
}
