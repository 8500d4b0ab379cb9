/** Runs plug-in calls on threads of their own and stops calls that exceed their budget. */
package peppergauge.plugin.executor;
