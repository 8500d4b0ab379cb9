package peppergauge.thrift.wire;

/**
 * What a message may be. A container or string has no bound of its own: each entry takes a byte at least, so that
 * none can claim more than the rest of the message could hold.
 *
 * @param longestMessage bytes without the frame's head, over 0; a connection holds so much at most, and one read more
 * @param deepest structs and containers inside each other, the arguments themselves counted, over 0
 */
public record Bounds(int longestMessage, int deepest) {

    /** Bytes of a method's name; more could not be one of the file's. */
    public static final int LONGEST_NAME = 256;
}
