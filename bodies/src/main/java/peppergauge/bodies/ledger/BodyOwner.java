package peppergauge.bodies.ledger;

/**
 * The tenant and the request class that the storage of a body is accounted to.
 *
 * @param tenant its index in the settings, 0 or more
 * @param requestClass its index in the settings, 0 or more
 * @param priorityWeight of the class, over 0
 */
public record BodyOwner(int tenant, int requestClass, double priorityWeight) {

    /** @throws IllegalArgumentException if a value is out of its range */
    public BodyOwner {
        if (tenant < 0 || requestClass < 0 || !(priorityWeight > 0)) {
            throw new IllegalArgumentException("body owner must have a tenant and a class of 0 or more and a priority"
                    + " weight over 0 but has tenant " + tenant + ", class " + requestClass + ", priority weight "
                    + priorityWeight);
        }
    }
}
