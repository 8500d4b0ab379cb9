package peppergauge.daemon.part;

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

/** Several additions as one, in the order of {@link Subsystems#ALL}: the first stands outermost. */
public final class Combined implements SidecarExtension {

    private final List<SidecarExtension> all;
    private final List<SidecarExtension> insideOut;

    public Combined(List<SidecarExtension> all) {
        this.all = List.copyOf(all);
        List<SidecarExtension> reversed = new ArrayList<>(all);
        Collections.reverse(reversed);
        insideOut = List.copyOf(reversed);
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer module, Context parts) {
        LoadBalancer whole = module;
        for (SidecarExtension each : insideOut) {
            whole = each.wrapLoadBalancer(whole, parts);
        }
        return whole;
    }

    /** At most one takes them. */
    @Override
    public LargeBodies largeBodies(Context parts) {
        LargeBodies one = LargeBodies.NONE;
        for (SidecarExtension each : all) {
            LargeBodies own = each.largeBodies(parts);
            one = own == LargeBodies.NONE ? one : own;
        }
        return one;
    }

    @Override
    public Backend wrapBackend(Backend http, Context parts) {
        Backend whole = http;
        for (SidecarExtension each : insideOut) {
            whole = each.wrapBackend(whole, parts);
        }
        return whole;
    }

    /**
     * Each {@link SidecarExtension.RequestInterceptor} stands before the next; of others, which know only the sessions themselves, at most
     * one can stand before these.
     */
    @Override
    public RequestHandler wrapRequestHandler(RequestDispatcher sessions, Context parts) {
        RequestHandler whole = sessions;
        for (SidecarExtension each : insideOut) {
            if (!(each instanceof RequestInterceptor)) {
                RequestHandler own = each.wrapRequestHandler(sessions, parts);
                if (own != sessions && whole != sessions) {
                    throw new IllegalStateException("two additions stand right before the sessions");
                }
                whole = own == sessions ? whole : own;
            }
        }
        for (SidecarExtension each : insideOut) {
            if (each instanceof RequestInterceptor before) {
                whole = before.wrapRequestHandler(whole, parts);
            }
        }
        return whole;
    }

    @Override
    public StartupPolicy startupPolicy(StartupPolicy prompt, Context parts) {
        StartupPolicy whole = prompt;
        for (SidecarExtension each : all) {
            whole = each.startupPolicy(whole, parts);
        }
        return whole;
    }

    /** Only if all of them leave it to the platform's. */
    @Override
    public boolean watchesDiscovery() {
        return all.stream().allMatch(SidecarExtension::watchesDiscovery);
    }

    @Override
    public void onStarting(RequestHandler intake, RequestDispatcher sessions, Context parts)
            throws IOException, InterruptedException {
        for (SidecarExtension each : all) {
            each.onStarting(intake, sessions, parts);
        }
    }

    @Override
    public void onReload(Map<String, String> environment) {
        all.forEach(each -> each.onReload(environment));
    }

    @Override
    public void onStopping() {
        all.forEach(each -> guarded(each::onStopping));
    }

    @Override
    public void onStopped() {
        all.forEach(each -> guarded(each::onStopped));
    }

    /** One that fails must not keep the others from ending in order. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException bug) {
            Log.bug("bug", bug);
        }
    }
}
