package peppergauge.thrift.wire;

/** Bytes that are no message, or one beyond the bounds; its text may go into an answer and holds none of the bytes. */
public final class Malformed extends Exception {

    private static final long serialVersionUID = 1L;

    public Malformed(String why) {
        // Bad input must stay cheap: no trace is taken.
        super(why, null, false, false);
    }
}
