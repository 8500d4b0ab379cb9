package peppergauge.bodies.ledger;

/** Whether a session may be sent once more, as far as its body decides that; whether it should is the module's. */
public enum Again {
    /** The whole body is there, from its first byte. */
    MAY,
    /** Nothing of it reached a server, and what has come of it still stands before the first attempt. */
    MAY_AS_FIRST,
    /** It cannot be sent again: the session fails. */
    NEVER;

    /**
     * Decides.
     *
     * @param whole whether all of the body has come and every byte of it is kept, and agrees with what came
     * @param unsafe whether its class must never run twice
     * @param begun whether a byte of the body was passed on
     * @param ended whether the last byte of the request may have been written: only then can it have run
     */
    public static Again of(boolean whole, boolean unsafe, boolean begun, boolean ended) {
        if (unsafe && ended) {
            return NEVER;
        }
        if (whole) {
            return MAY;
        }
        return begun ? NEVER : MAY_AS_FIRST;
    }
}
