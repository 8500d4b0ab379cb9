package peppergauge.lab.emulator;

import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;

/**
 * Slowdown of an overloaded server. A server that holds too many requests for some time becomes slower, until it has
 * been mostly idle for some time or a maximum duration has passed. The server updates the model at each change of its
 * load, and periodically while a transition is pending.
 */
final class Choke {

    /** Below this number of requests per core a server counts as mostly idle. */
    private static final double IDLE = 0.4;

    private final double at;
    private final double slower;
    private final long over;
    private final long rest;
    private final long most;
    private long crowdedSince = -1;
    private long idleSince = -1;
    private long chokedSince = -1;

    Choke(ServerKind kind) {
        at = kind.chokeAt();
        slower = kind.chokeSlower();
        over = VirtualTime.ticks(Scenario.ms(kind.chokeOver()));
        rest = VirtualTime.ticks(Scenario.ms(kind.chokeRest()));
        most = VirtualTime.ticks(Scenario.ms(kind.chokeMost()));
    }

    void start() {
        crowdedSince = -1;
        idleSince = -1;
        chokedSince = -1;
    }

    void see(long now, double heldPerCore) {
        crowdedSince = at <= 0 || heldPerCore < at ? -1 : crowdedSince < 0 ? now : crowdedSince;
        idleSince = heldPerCore >= IDLE ? -1 : idleSince < 0 ? now : idleSince;
        if (chokedSince < 0 && crowdedSince >= 0 && now - crowdedSince >= over) {
            chokedSince = now;
        } else if (chokedSince >= 0 && (now - chokedSince >= most || idleSince >= 0 && now - idleSince >= rest)) {
            chokedSince = -1;
            crowdedSince = -1;
        }
    }

    boolean choked() {
        return chokedSince >= 0;
    }

    /** Whether the state may change by the passage of time alone. */
    boolean pending() {
        return chokedSince >= 0 || crowdedSince >= 0;
    }

    double slower() {
        return chokedSince >= 0 ? slower : 1;
    }
}
