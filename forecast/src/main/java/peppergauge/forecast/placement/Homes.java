package peppergauge.forecast.placement;

import org.apache.commons.statistics.distribution.NormalDistribution;
import peppergauge.forecast.placement.Placement.Rendezvous;
import peppergauge.forecast.popularity.Popularity;
import peppergauge.forecast.popularity.Popularity.KeyCount;

/** Over how many servers a key's sessions are spread where each key has its own. */
public final class Homes {

    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);

    private final Placement placement;
    private final double own;
    private final double roomForOne;

    public Homes(Placement placement, Popularity popularity) {
        this.placement = placement;
        int all = placement.servers().size();
        if (placement.rule() instanceof Rendezvous rule) {
            own = Math.min(all, rule.bound() > 1 ? spilling(rule, popularity) : rule.servers());
            // What others send there fills a server to the mean already; the rest up to the bound is for this key.
            roomForOne = rule.bound() > 1 ? (rule.bound() - 1) / all : Double.POSITIVE_INFINITY;
        } else {
            own = 0;
            roomForOne = 0;
        }
    }

    /** Servers that a key's sessions seem to go to, as the inverse of the sum of its servers' squared parts. */
    private double spilling(Rendezvous rule, Popularity popularity) {
        int all = placement.servers().size();
        double mean = popularity.sessions() / popularity.spanMs() * rule.overMs() / all;
        double squares = 0;
        double whole = Math.max(1, popularity.sampled());
        for (KeyCount key : popularity.keys()) {
            squares += key.count() * (key.count() - 1.0) / (whole * whole) * popularity.share();
        }
        // Loads differ by which keys a server has, and by when their sessions come.
        double variance = mean * mean * squares * (Math.max(1, (double) all / rule.servers()) - 1) + mean / 2;
        double full = 1 - NORMAL.cumulativeProbability((1 + (rule.bound() - 1) * mean) / Math.sqrt(variance));
        full = Math.min(0.9, full);
        return 1 / ((1 - full) * (1 - full) / rule.servers() + full * full * (1 - full) / (1 + full));
    }

    /**
     * How likely a server is one of a key's: 1 where a key's sessions may go anywhere.
     *
     * @param part of all sessions at the server
     * @param weight of the key: its part of all sessions
     */
    public double chance(double part, double weight) {
        return own == 0
                ? 1
                : Math.min(1, part * Math.min(placement.servers().size(), Math.max(own, weight / roomForOne)));
    }

    /** Whether a key's sessions may go to any server. */
    public boolean anywhere() {
        return own == 0;
    }
}
