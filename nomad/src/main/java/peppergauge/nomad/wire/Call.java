package peppergauge.nomad.wire;

/** One GET under way; all on the loop. */
public interface Call {

    /** Ends the call if it is not over, and tells why. */
    void close(String why);

    /** Ends the call without a word. */
    void drop();
}
