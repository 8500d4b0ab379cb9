/**
 * The decision logic for plug-ins, without threads, clock, input or output: the order of calls and the result for the
 * request ({@link peppergauge.plugin.rules.PluginChain}), the header policy, the CPU share and the circuit breaker.
 */
package peppergauge.plugin.rules;
