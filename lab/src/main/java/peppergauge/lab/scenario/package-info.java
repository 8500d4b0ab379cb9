/**
 * What a scenario file may say, and the records that it is read to. Each top-level table of the file is a
 * {@link peppergauge.operator.Table} whose keys have the names of a record's components ({@code lateWorth} is
 * {@code late-worth}); {@link peppergauge.lab.scenario.Rows} reads and writes by that.
 */
package peppergauge.lab.scenario;
