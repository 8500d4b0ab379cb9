package peppergauge.nomad.wire;

/**
 * What an answer may be at most; more is refused.
 *
 * @param bytes of a whole answer, or of one line of a stream
 * @param depth of objects and lists in each other
 * @param entries of a list
 */
public record Bounds(int bytes, int depth, int entries) {}
