package peppergauge.plugin.crew;

/**
 * What a crew is given.
 *
 * @param threads with an instance each, from 1
 * @param queue calls that may wait for a thread
 * @param stackBytes of each thread, which bounds the depth of calls
 * @param callMs that a call may take
 * @param startMs that a start may take: the start function, abi_version and alloc
 */
public record Times(int threads, int queue, long stackBytes, double callMs, double startMs) {}
