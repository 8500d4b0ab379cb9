package peppergauge.snapshot.format;

/** Bytes that are no snapshot that can be read here; the message says why, for the people on call. */
public final class UnusableSnapshot extends Exception {

    private static final long serialVersionUID = 1L;

    UnusableSnapshot(String why) {
        super(why);
    }
}
