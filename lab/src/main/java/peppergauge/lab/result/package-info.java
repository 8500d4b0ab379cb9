/**
 * The result of a run and its JSON form, for reports and comparisons. Nothing here depends on how the run was made.
 */
package peppergauge.lab.result;
