package peppergauge.lab.emulator;

import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;

/** Warm-up of a server: its capacity rises linearly after a start, with time or with completed work. */
final class WarmUp {

    private final double from;
    private final double coldMs;
    private final boolean byWork;
    private final double fullWorkPerMs;
    private long started = Long.MIN_VALUE;
    private double doneWorkMs;

    WarmUp(ServerGroup kind, double fullWorkPerMs) {
        this.from = kind.coldFrom();
        this.coldMs = Scenario.toMillis(kind.coldTime());
        this.byWork = kind.warmBy() == ServerGroup.WarmBy.WORK;
        this.fullWorkPerMs = fullWorkPerMs;
    }

    void start(long now) {
        started = now;
        doneWorkMs = 0;
    }

    void addWork(double standardMs) {
        doneWorkMs += standardMs;
    }

    /** Current share of the full capacity, 0 to 1. */
    double share(long now) {
        if (started == Long.MIN_VALUE) {
            return 1;
        }
        double passedMs = byWork ? doneWorkMs / fullWorkPerMs : VirtualTime.ms(now - started);
        return passedMs >= coldMs ? 1 : from + (1 - from) * passedMs / coldMs;
    }
}
