package peppergauge.invariant;

/** Thrown if an {@link Invariant} is violated. An error, so that no handler of exceptions catches it. */
public final class InvariantViolation extends AssertionError {

    private static final long serialVersionUID = 1;

    private final transient Invariant invariant;

    InvariantViolation(Invariant invariant, String details) {
        super(invariant + ": " + details);
        this.invariant = invariant;
    }

    /** The violated invariant. */
    public Invariant invariant() {
        return invariant;
    }

    /** Throws unless the condition holds. */
    static void require(boolean holds, Invariant invariant, Object details) {
        if (!holds) {
            throw new InvariantViolation(invariant, String.valueOf(details));
        }
    }
}
