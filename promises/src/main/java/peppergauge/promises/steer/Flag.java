package peppergauge.promises.steer;

/**
 * Whether one data centre is bad for one station, with what keeps that from following every swing: it stays bad for a
 * tenth of the contract's window at the least, and twice as long each time that it turns bad again within a window.
 *
 * @param untilMs it does not turn good before
 * @param changedMs when it last turned
 * @param flaps times that it turned bad again soon
 */
record Flag(boolean bad, long untilMs, long changedMs, int flaps) {

    static final Flag GOOD = new Flag(false, Long.MIN_VALUE, Long.MIN_VALUE / 2, 0);
    private static final int MOST_FLAPS = 4;

    Flag turnBad(long nowMs, long windowMs) {
        boolean again = nowMs - changedMs < windowMs;
        int times = again && changedMs > 0 ? Math.min(MOST_FLAPS, flaps + 1) : 0;
        assert times >= 0 && times <= MOST_FLAPS : times + " flaps";
        return new Flag(true, nowMs + (windowMs / 10 << times), nowMs, times);
    }

    Flag turnGood(long nowMs) {
        return new Flag(false, untilMs, nowMs, flaps);
    }

    /** Of two sides the one that turned last; of two that turned at once, the bad. */
    static Flag later(Flag one, Flag other) {
        return one.changedMs != other.changedMs
                ? one.changedMs > other.changedMs ? one : other
                : one.bad != other.bad
                        ? one.bad ? one : other
                        : one.untilMs != other.untilMs
                                ? one.untilMs > other.untilMs ? one : other
                                : one.flaps >= other.flaps ? one : other;
    }
}
