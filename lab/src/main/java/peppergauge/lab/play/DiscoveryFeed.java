package peppergauge.lab.play;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.DiscoveryStandIn;
import peppergauge.lab.standin.EndpointEntry;

/**
 * The discovery of a run: one stand-in for each sidecar, which is told of changes after the scenario's delays.
 * Discovery may be down or return empty lists.
 */
final class DiscoveryFeed {

    private final RunContext context;
    private final SplittableRandom random;
    private final List<DiscoveryStandIn> standIns = new ArrayList<>();
    private final double[] deliveryMs;
    private double lateMs;
    private int down;
    private int empty;

    DiscoveryFeed(RunContext context) throws IOException {
        this.context = context;
        random = context.random.split();
        for (int i = 0; i < context.sidecars.size(); i++) {
            int sidecarIndex = i;
            standIns.add(new DiscoveryStandIn(
                    context.loop,
                    context.serverSlots.stream()
                            .map(slot -> slot.server().row(sidecarIndex))
                            .toList()));
        }
        deliveryMs = new double[standIns.size()];
    }

    DiscoveryStandIn standIn(int sidecarIndex) {
        return standIns.get(sidecarIndex);
    }

    /** Publishes a server's state; {@code unannounced} if the server could not deregister itself. */
    void changed(ServerInstance server, boolean unannounced) {
        double noticeMs = Scenario.toMillis(context.scenario.discovery().notice()) * (0.5 + random.nextDouble());
        double silentMs = Scenario.toMillis(context.scenario.discovery().silentNotice());
        context.after((unannounced ? silentMs : noticeMs) + lateMs, () -> {
            for (int i = 0; i < standIns.size(); i++) {
                publish(i, server.row(i));
            }
        });
    }

    /** Delivers an update to one sidecar's stand-in after a random delay, in the order of the updates. */
    private void publish(int sidecarIndex, EndpointEntry row) {
        double spreadMs = random.nextDouble()
                * Scenario.toMillis(context.scenario.discovery().spread());
        deliveryMs[sidecarIndex] = Math.max(deliveryMs[sidecarIndex], context.nowMs() + spreadMs);
        context.after(deliveryMs[sidecarIndex] - context.nowMs(), () -> {
            standIns.get(sidecarIndex).publish(List.of(row));
            context.sidecars.get(sidecarIndex).onUpdate(row, down > 0 || empty > 0);
        });
    }

    void down(double ms) {
        down++;
        standIns.forEach(standIn -> standIn.silent(true));
        context.after(ms, () -> {
            if (--down == 0) {
                standIns.forEach(standIn -> standIn.silent(false));
                context.sidecars.forEach(SidecarInstance::onDiscoveryRecovered);
            }
        });
    }

    void empty(double ms) {
        empty++;
        standIns.forEach(standIn -> standIn.empty(true));
        context.after(ms, () -> {
            if (--empty == 0) {
                standIns.forEach(standIn -> standIn.empty(false));
                context.sidecars.forEach(SidecarInstance::onDiscoveryRecovered);
            }
        });
    }

    void late(double addedMs, double ms) {
        lateMs += addedMs;
        context.after(ms, () -> lateMs -= addedMs);
    }
}
