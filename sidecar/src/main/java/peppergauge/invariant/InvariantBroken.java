package peppergauge.invariant;

/** Something that must always hold does not. An error: nothing that goes on after a bug may swallow it. */
public final class InvariantBroken extends AssertionError {

    private static final long serialVersionUID = 1;

    private final transient Invariant invariant;

    InvariantBroken(Invariant invariant, String about) {
        super(invariant + ": " + about);
        this.invariant = invariant;
    }

    public Invariant invariant() {
        return invariant;
    }

    static void unless(boolean holds, Invariant invariant, Object about) {
        if (!holds) {
            throw new InvariantBroken(invariant, String.valueOf(about));
        }
    }
}
