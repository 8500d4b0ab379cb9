package peppergauge.plugin.abi;

/**
 * What a plug-in is told of a session's answer.
 *
 * @param status as HTTP has it
 * @param tookMs from the arrival to the answer, ms
 * @param attempts sends to backend servers
 * @param zone of the server that answered; empty if none did
 */
public record AnswerView(int status, double tookMs, int attempts, String className, String tenant, String zone) {}
