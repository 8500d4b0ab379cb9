package peppergauge.nomad.model;

/**
 * Reasons for which a server should get fewer or no requests; both texts are empty if there are none.
 *
 * @param drainReason why the server is draining; empty if it is not
 * @param unhealthyReason why the server is unhealthy; empty if it is not
 */
public record Condition(String drainReason, String unhealthyReason) {

    /** The server is neither draining nor unhealthy. */
    public static final Condition NONE = new Condition("", "");

    /** Returns the combination of two conditions; where both have a reason, the reason of this one is kept. */
    Condition merge(Condition other) {
        return new Condition(
                drainReason.isEmpty() ? other.drainReason : drainReason,
                unhealthyReason.isEmpty() ? other.unhealthyReason : unhealthyReason);
    }
}
