package peppergauge.plugin.rules;

import java.util.OptionalDouble;

/**
 * Leaves a plug-in out for a growing time after failures. Guards against paying for a broken plug-in with each session:
 * its budget in waiting, a stopped call, a new instance. Not for several threads.
 */
public final class Breaker {

    private static final double WINDOW_MS = 10_000;
    private static final double FIRST_OFF_MS = 1_000;
    private static final double LONGEST_OFF_MS = 300_000;
    /** After so long without being left out the next time is short again. */
    private static final double CALM_MS = 600_000;

    private final int most;
    private int failures;
    private double windowMs = Double.NEGATIVE_INFINITY;
    private double offUntilMs = Double.NEGATIVE_INFINITY;
    private double offMs = FIRST_OFF_MS;
    private boolean onTrial;

    /** @param most failures within 10 s at which the plug-in is left out; at least 1 */
    public Breaker(int most) {
        this.most = most;
    }

    public boolean isOff(double nowMs) {
        return nowMs < offUntilMs;
    }

    /** When it is asked again, ms; in the past if it is not left out. */
    public double offUntilMs() {
        return offUntilMs;
    }

    /** For how long it is left out from now on, ms, if this failure was one too many. */
    public OptionalDouble failed(double nowMs) {
        if (isOff(nowMs)) {
            return OptionalDouble.empty();
        }
        if (nowMs - windowMs > WINDOW_MS) {
            windowMs = nowMs;
            failures = 0;
        }
        if (++failures < most) {
            return OptionalDouble.empty();
        }
        if (nowMs - offUntilMs > CALM_MS) {
            offMs = FIRST_OFF_MS;
        }
        double now = offMs;
        offUntilMs = nowMs + now;
        offMs = Math.min(LONGEST_OFF_MS, 2 * offMs);
        // Back again it has one failure to go: a loop must not cost the full number each time.
        failures = most - 1;
        windowMs = offUntilMs;
        onTrial = true;
        return OptionalDouble.of(now);
    }

    /** A call ended well; a second after its return that ends the trial. */
    public void succeeded(double nowMs) {
        if (onTrial && nowMs - offUntilMs > FIRST_OFF_MS) {
            onTrial = false;
            failures = 0;
        }
    }
}
