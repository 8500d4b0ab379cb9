package peppergauge.adapter;

/** A line that is not what the wire promises; the message says what and where. */
public final class MalformedLine extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedLine(String what) {
        super(what);
    }
}
