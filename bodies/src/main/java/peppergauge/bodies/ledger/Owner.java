package peppergauge.bodies.ledger;

/**
 * Whose body it is.
 *
 * @param tenant by its place in the settings, 0 or more
 * @param requestClass likewise
 * @param worth of its class, over 0
 */
public record Owner(int tenant, int requestClass, double worth) {

    /** @throws IllegalArgumentException if a figure is out of its range */
    public Owner {
        if (tenant < 0 || requestClass < 0 || !(worth > 0)) {
            throw new IllegalArgumentException("an owner out of range");
        }
    }
}
