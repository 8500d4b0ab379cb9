package peppergauge.backend;

/**
 * Limits of the connections to backend servers.
 *
 * @param connectTimeoutMs the connect timeout
 * @param idleMs time after which backend servers close an idle connection
 * @param quietMs time after a response for which its connection is not used for another request
 * @param maxConnections maximum number of descriptors that all connections hold together
 */
public record ConnectionLimits(double connectTimeoutMs, double idleMs, double quietMs, int maxConnections) {}
