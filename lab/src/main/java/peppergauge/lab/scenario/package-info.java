/**
 * The sections of a scenario file and the records that they are read into. Each top-level table of the file is a
 * {@link peppergauge.operator.Table} whose keys have the names of a record's components ({@code lateWorth} is
 * {@code late-worth}); {@link peppergauge.lab.scenario.TableRecords} reads and writes them by these names.
 */
package peppergauge.lab.scenario;
