package peppergauge.nomad.model;

/**
 * What is wrong with a server; empty texts if nothing is.
 *
 * @param drainReason why it is draining
 * @param unhealthyReason why it is unhealthy, though not draining
 */
public record Condition(String drainReason, String unhealthyReason) {

    /** Nothing is wrong. */
    public static final Condition NONE = new Condition("", "");

    /** Returns both conditions; of two reasons the first holds. */
    Condition merge(Condition other) {
        return new Condition(
                drainReason.isEmpty() ? other.drainReason : drainReason,
                unhealthyReason.isEmpty() ? other.unhealthyReason : unhealthyReason);
    }
}
