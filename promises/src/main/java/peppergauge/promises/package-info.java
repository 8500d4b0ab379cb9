/**
 * Service level objectives of tenants: counts requests against them and decides the zone weights that keep them.
 *
 * <p>Pure code: no I/O, no clock, no threads.
 */
package peppergauge.promises;
