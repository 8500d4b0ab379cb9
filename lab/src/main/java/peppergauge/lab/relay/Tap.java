package peppergauge.lab.relay;

/** Who looks at one connection of a link; called on the relay's thread. */
public interface Tap {

    /** Looks at nothing. */
    Tap NONE = new Tap() {};

    /** The calling end has sent these, whatever becomes of them. */
    default void sent(byte[] bytes, int count) {}

    /** These were written to the called end's socket. */
    default void passed(byte[] bytes, int count) {}

    /** The called end has said these, whatever becomes of them. */
    default void said(byte[] bytes, int count) {}

    /** The called end will say no more; called once, if the caller was not the first to close. */
    default void left() {}

    /** These were written to the calling end's socket. */
    default void told(byte[] bytes, int count) {}

    /**
     * The connection is over for the calling end; called once.
     *
     * @param byCaller whether it closed
     */
    default void over(boolean byCaller) {}
}
