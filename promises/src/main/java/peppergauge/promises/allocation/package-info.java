/** Allocation of tenants' requests to zones: capacity of each zone, and the shares that fit into it. */
package peppergauge.promises.allocation;
