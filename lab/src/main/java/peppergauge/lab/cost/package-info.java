/**
 * What one sidecar costs; docs/COST.md says how it is measured and what the figures mean. What the fleet service and
 * its readers cost is in docs/FLEET-SERVICE.md.
 */
package peppergauge.lab.cost;
