package peppergauge.snapshot.restore;

/**
 * What was restored from a snapshot.
 *
 * @param classes number of request classes in the snapshot, all of which were restored
 * @param servers number of servers in the snapshot
 * @param restored servers whose statistics were restored
 * @param restarted servers dropped because they have another start time
 * @param moved servers dropped because they have another address
 * @param notListed servers dropped because no endpoint list had them in time
 */
public record RestoreResult(int classes, int servers, int restored, int restarted, int moved, int notListed) {}
