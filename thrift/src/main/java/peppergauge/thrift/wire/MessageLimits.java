package peppergauge.thrift.wire;

/**
 * Size limits of a message. Containers and strings need no limit of their own: each element takes at least one byte, so
 * a size that exceeds the rest of the message is rejected.
 *
 * @param maxMessageBytes without the frame header, positive; a connection buffers at most this and one read more
 * @param maxDepth nested structs and containers, including the struct of arguments or results, positive
 */
public record MessageLimits(int maxMessageBytes, int maxDepth) {

    /** No configured method has a longer name. */
    public static final int MAX_METHOD_NAME_BYTES = 256;
}
