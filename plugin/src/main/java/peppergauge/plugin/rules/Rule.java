package peppergauge.plugin.rules;

/**
 * A plug-in as the chain knows it.
 *
 * @param closedRetryAfterMs what a session is told that is denied for this plug-in's failure, ms; 0 for no advice
 */
public record Rule(String name, OnFailure onFailure, HeaderRules headers, double closedRetryAfterMs) {}
