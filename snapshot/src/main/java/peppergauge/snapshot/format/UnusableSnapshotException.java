package peppergauge.snapshot.format;

/** A snapshot file that cannot be used here; the message says why. */
public final class UnusableSnapshotException extends Exception {

    private static final long serialVersionUID = 1L;

    UnusableSnapshotException(String why) {
        super(why);
    }
}
