package peppergauge.fleet.wire;

/**
 * What a daemon is told that asks for a table.
 *
 * @param table null where none is newer than the one that it has
 * @param askMs time until it asks again, ms
 */
public record TableAnswer(FleetTable table, long askMs) {}
