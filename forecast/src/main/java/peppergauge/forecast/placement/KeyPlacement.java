package peppergauge.forecast.placement;

import peppergauge.forecast.distribution.StandardNormal;
import peppergauge.forecast.placement.Placement.Rendezvous;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;

/** Computes over how many servers the requests of one key spread, if each key has its own servers. */
public final class KeyPlacement {

    private final Placement placement;
    private final double serversPerKey;
    private final double spareShare;

    public KeyPlacement(Placement placement, KeyPopularity popularity) {
        this.placement = placement;
        int all = placement.servers().size();
        if (placement.rule() instanceof Rendezvous rule) {
            serversPerKey = Math.min(all, rule.bound() > 1 ? effectiveServers(rule, popularity) : rule.servers());
            // Other keys fill a server up to its mean load; this key may use the rest up to the bound.
            spareShare = rule.bound() > 1 ? (rule.bound() - 1) / all : Double.POSITIVE_INFINITY;
        } else {
            serversPerKey = 0;
            spareShare = 0;
        }
    }

    /** Returns the effective number of servers of a key: the inverse of the sum of their squared shares. */
    private double effectiveServers(Rendezvous rule, KeyPopularity popularity) {
        int all = placement.servers().size();
        double mean = popularity.requests() / popularity.spanMs() * rule.overMs() / all;
        double squares = 0;
        double total = Math.max(1, popularity.sampledRequests());
        for (KeyCount key : popularity.keys()) {
            squares += key.count() * (key.count() - 1.0) / (total * total) * popularity.share();
        }
        // Loads vary by the keys of a server and by the arrival of their requests. A server is full with the normal
        // probability that its load exceeds the bound.
        double variance = mean * mean * squares * (Math.max(1, (double) all / rule.servers()) - 1) + mean / 2;
        double full = 1 - StandardNormal.cumulativeProbability((1 + (rule.bound() - 1) * mean) / Math.sqrt(variance));
        full = Math.min(0.9, full);
        // The key's own servers share what they have room for, and each further server takes the same part of the rest.
        return 1 / ((1 - full) * (1 - full) / rule.servers() + full * full * (1 - full) / (1 + full));
    }

    /**
     * Returns the probability that a server is one of a key's servers; 1 if a key's requests may go to any server.
     *
     * @param serverShare share of all requests at the server
     * @param keyShare share of all requests with the key
     */
    public double probability(double serverShare, double keyShare) {
        return serversPerKey == 0
                ? 1
                : Math.min(
                        1,
                        serverShare
                                * Math.min(placement.servers().size(), Math.max(serversPerKey, keyShare / spareShare)));
    }

    /** Returns whether a key's requests may go to any server. */
    public boolean isUnrestricted() {
        return serversPerKey == 0;
    }
}
