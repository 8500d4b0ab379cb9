package peppergauge.lab.emulator;

import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;

/**
 * Slowdown of an overloaded server. A server that holds too many requests for some time becomes slower, until it has
 * been mostly idle for some time or a maximum duration has passed. The server updates the model at each change of its
 * load, and periodically while a transition is pending.
 */
final class OverloadSlowdown {

    /** Below this number of requests per core a server counts as mostly idle. */
    private static final double IDLE_REQUESTS_PER_CORE = 0.4;

    private final double thresholdPerCore;
    private final double slowdownFactor;
    private final long triggerTicks;
    private final long recoveryTicks;
    private final long maxTicks;
    private long overloadedSince = -1;
    private long idleSince = -1;
    private long slowedSince = -1;

    OverloadSlowdown(ServerGroup kind) {
        thresholdPerCore = kind.chokeAt();
        slowdownFactor = kind.chokeSlower();
        triggerTicks = VirtualTime.ticks(Scenario.toMillis(kind.chokeOver()));
        recoveryTicks = VirtualTime.ticks(Scenario.toMillis(kind.chokeRest()));
        maxTicks = VirtualTime.ticks(Scenario.toMillis(kind.chokeMost()));
    }

    void start() {
        overloadedSince = -1;
        idleSince = -1;
        slowedSince = -1;
    }

    void update(long now, double requestsPerCore) {
        overloadedSince = thresholdPerCore <= 0 || requestsPerCore < thresholdPerCore
                ? -1
                : overloadedSince < 0 ? now : overloadedSince;
        idleSince = requestsPerCore >= IDLE_REQUESTS_PER_CORE ? -1 : idleSince < 0 ? now : idleSince;
        if (slowedSince < 0 && overloadedSince >= 0 && now - overloadedSince >= triggerTicks) {
            slowedSince = now;
        } else if (slowedSince >= 0
                && (now - slowedSince >= maxTicks || idleSince >= 0 && now - idleSince >= recoveryTicks)) {
            slowedSince = -1;
            overloadedSince = -1;
        }
    }

    boolean isSlowed() {
        return slowedSince >= 0;
    }

    /** Whether the state may change by the passage of time alone. */
    boolean pending() {
        return slowedSince >= 0 || overloadedSince >= 0;
    }

    double slowdownFactor() {
        return slowedSince >= 0 ? slowdownFactor : 1;
    }
}
