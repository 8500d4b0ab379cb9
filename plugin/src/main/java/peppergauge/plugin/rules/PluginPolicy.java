package peppergauge.plugin.rules;

/**
 * The settings of one plug-in that decide on its results.
 *
 * @param headers the headers that the plug-in may change
 * @param closedRetryAfterMs Retry-After of a request that is denied because the plug-in failed, ms; 0 for none
 */
public record PluginPolicy(String name, OnFailure onFailure, HeaderPolicy headers, double closedRetryAfterMs) {}
