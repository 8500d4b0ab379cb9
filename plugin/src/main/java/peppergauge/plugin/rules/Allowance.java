package peppergauge.plugin.rules;

/**
 * The time that all calls of a plug-in may take together. Guards the loop's half a core: a plug-in that stays just
 * under its budget in each call would take all there is. Not for several threads.
 */
public final class Allowance {

    private final double share;
    private final double mostMs;
    private double leftMs;
    private double lastMs = Double.NaN;

    /**
     * @param share of one core, above 0 up to 1
     * @param mostMs how much may be saved up, ms
     */
    public Allowance(double share, double mostMs) {
        this.share = share;
        this.mostMs = mostMs;
        this.leftMs = mostMs;
    }

    public boolean allows(double nowMs) {
        if (!Double.isNaN(lastMs)) {
            leftMs = Math.min(mostMs, leftMs + share * Math.max(0, nowMs - lastMs));
        }
        lastMs = nowMs;
        return leftMs > 0;
    }

    /** A call has taken so long. */
    public void spent(double tookMs) {
        leftMs -= tookMs;
    }
}
