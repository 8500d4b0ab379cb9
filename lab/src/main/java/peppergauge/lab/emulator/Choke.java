package peppergauge.lab.emulator;

import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;

/**
 * A server that held far too many requests for a while turns slower, and stays so until it was mostly idle for a
 * while, or for a longest time. Asked at each change and, while something is about to change, now and then.
 */
final class Choke {

    /** Mostly idle: under so many requests for each core. */
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

    /** Whether time alone may change it. */
    boolean pending() {
        return chokedSince >= 0 || crowdedSince >= 0;
    }

    double slower() {
        return chokedSince >= 0 ? slower : 1;
    }
}
