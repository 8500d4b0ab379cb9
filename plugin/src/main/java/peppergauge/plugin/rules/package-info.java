/**
 * Decisions about plug-ins, without threads, clock, input or output: who is asked and what then becomes of the session
 * ({@link peppergauge.plugin.rules.Chain}), what may be done to headers, when a plug-in is left out.
 */
package peppergauge.plugin.rules;
