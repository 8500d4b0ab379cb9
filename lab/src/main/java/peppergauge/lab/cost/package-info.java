/**
 * Measurements of the CPU, latency and memory cost of a sidecar, of traffic counters and of the fleet service.
 * docs/COST.md and docs/FLEET-SERVICE.md explain the methods and the figures.
 */
package peppergauge.lab.cost;
