/** Log lines for operators, with a rate limit for each event name. */
package peppergauge.log;
