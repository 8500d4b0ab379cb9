package peppergauge.nomad.api;

/**
 * Limits of a response; one that exceeds them counts as a failure.
 *
 * @param maxBytes size of a response, or of one line of a stream
 * @param maxDepth nesting depth of JSON objects and arrays
 * @param maxEntries number of entries of a JSON object or array
 */
public record ResponseLimits(int maxBytes, int maxDepth, int maxEntries) {}
