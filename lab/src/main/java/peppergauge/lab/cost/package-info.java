/** What one sidecar costs; docs/COST.md says how it is measured and what the figures mean. */
package peppergauge.lab.cost;
