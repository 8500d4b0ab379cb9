package peppergauge.snapshot.format;

/** Thrown if a snapshot file cannot be used; the message gives the reason. */
public final class UnusableSnapshotException extends Exception {

    private static final long serialVersionUID = 1L;

    UnusableSnapshotException(String reason) {
        super(reason);
    }
}
