package peppergauge.coldstart;

/**
 * When a sidecar that starts says that it is ready: at its first news from discovery, or once it has waited for that so
 * long that it takes what it has from before for good. One that has nothing waits longer, since all that it could do is
 * to deny; in the end it is ready too, or an operator would see it hang in place of denying.
 *
 * @param patienceMs longest wait of one that knows servers from before
 * @param longestMs longest wait of one that knows none
 */
public record ReadinessPolicy(double patienceMs, double longestMs) {

    public ReadinessPolicy {
        if (!(patienceMs >= 0 && longestMs >= patienceMs)) {
            throw new IllegalArgumentException("patience " + patienceMs + " ms and longest " + longestMs + " ms");
        }
    }

    /** The longest wait, ms. */
    public double waitMs(int serversKnown) {
        double wait = serversKnown > 0 ? patienceMs : longestMs;
        assert wait <= longestMs : "ready only after " + wait + " ms";
        return wait;
    }

    /**
     * Whether this is news to be ready by.
     *
     * @param whole whether it is a whole list; changes tell that what is known holds otherwise
     * @param servers usable ones that it names
     */
    public boolean isNews(boolean whole, int servers, int serversKnown) {
        // An empty list is what a service tells that has itself just begun: what is known goes before it.
        boolean news = servers > 0 || !whole && serversKnown > 0;
        assert !news || servers > 0 || serversKnown > 0 : "ready by news of no server, knowing none";
        return news;
    }
}
