package peppergauge.daemon.part;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import peppergauge.Additions;
import peppergauge.coldstart.Start;
import peppergauge.decision.Balancer;
import peppergauge.log.Log;
import peppergauge.session.Backend;
import peppergauge.session.Bodies;
import peppergauge.session.Intake;
import peppergauge.session.Sessions;

/** Several additions as one, in the order of {@link Subsystems#ALL}: the first stands outermost. */
public final class Combined implements Additions {

    private final List<Additions> all;
    private final List<Additions> insideOut;

    public Combined(List<Additions> all) {
        this.all = List.copyOf(all);
        List<Additions> reversed = new ArrayList<>(all);
        Collections.reverse(reversed);
        insideOut = List.copyOf(reversed);
    }

    @Override
    public Balancer balancer(Balancer module, Parts parts) {
        Balancer whole = module;
        for (Additions each : insideOut) {
            whole = each.balancer(whole, parts);
        }
        return whole;
    }

    /** At most one takes them. */
    @Override
    public Bodies bodies(Parts parts) {
        Bodies one = Bodies.NONE;
        for (Additions each : all) {
            Bodies own = each.bodies(parts);
            one = own == Bodies.NONE ? one : own;
        }
        return one;
    }

    @Override
    public Backend backend(Backend http, Parts parts) {
        Backend whole = http;
        for (Additions each : insideOut) {
            whole = each.backend(whole, parts);
        }
        return whole;
    }

    /**
     * Each {@link Additions.Before} stands before the next; of others, which know only the sessions themselves, at most
     * one can stand before these.
     */
    @Override
    public Intake intake(Sessions sessions, Parts parts) {
        Intake whole = sessions;
        for (Additions each : insideOut) {
            if (!(each instanceof Before)) {
                Intake own = each.intake(sessions, parts);
                if (own != sessions && whole != sessions) {
                    throw new IllegalStateException("two additions stand right before the sessions");
                }
                whole = own == sessions ? whole : own;
            }
        }
        for (Additions each : insideOut) {
            if (each instanceof Before before) {
                whole = before.intake(whole, parts);
            }
        }
        return whole;
    }

    @Override
    public Start start(Start prompt, Parts parts) {
        Start whole = prompt;
        for (Additions each : all) {
            whole = each.start(whole, parts);
        }
        return whole;
    }

    /** Only if all of them leave it to the platform's. */
    @Override
    public boolean watchesDiscovery() {
        return all.stream().allMatch(Additions::watchesDiscovery);
    }

    @Override
    public void starting(Intake intake, Sessions sessions, Parts parts) throws IOException, InterruptedException {
        for (Additions each : all) {
            each.starting(intake, sessions, parts);
        }
    }

    @Override
    public void reload(Map<String, String> environment) {
        all.forEach(each -> each.reload(environment));
    }

    @Override
    public void stopping() {
        all.forEach(each -> guarded(each::stopping));
    }

    @Override
    public void stopped() {
        all.forEach(each -> guarded(each::stopped));
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
