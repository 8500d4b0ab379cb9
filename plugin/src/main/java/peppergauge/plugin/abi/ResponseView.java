package peppergauge.plugin.abi;

/**
 * The response to a request as a plug-in sees it.
 *
 * @param status HTTP status that the client got
 * @param tookMs from the arrival of the request to its response, ms
 * @param attempts number of attempts on backend servers
 * @param zone zone of the server that responded; empty if none did
 */
public record ResponseView(int status, double tookMs, int attempts, String className, String tenant, String zone) {}
