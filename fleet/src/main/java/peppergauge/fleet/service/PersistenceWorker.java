package peppergauge.fleet.service;

import java.io.IOException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import peppergauge.fleet.storage.PersistedState;
import peppergauge.fleet.storage.RecordFile;
import peppergauge.log.Log;
import peppergauge.snapshot.storage.FailureLog;

/** Writes the merged state to disk. After a failure the service continues, and a restart loses more state. */
final class PersistenceWorker {

    private static final String WRITE_STATE = "write merged state";

    private final RecordFile<PersistedState> file;
    private final LatestValueQueue<Supplier<PersistedState>> snapshots;
    private final LongSupplier clock;
    private final FailureLog failureLog =
            new FailureLog(Log::event, "fleet_state_write", "fleet_state_write_recovered");
    private volatile long failures;

    PersistenceWorker(
            RecordFile<PersistedState> file, LatestValueQueue<Supplier<PersistedState>> snapshots, LongSupplier clock) {
        this.file = file;
        this.snapshots = snapshots;
        this.clock = clock;
    }

    boolean step() {
        Supplier<PersistedState> snapshot = snapshots.poll();
        if (snapshot != null) {
            write(snapshot.get());
        }
        return snapshot != null;
    }

    void write(PersistedState state) {
        try {
            file.write(state, clock.getAsLong());
            failureLog.onSuccess(WRITE_STATE);
        } catch (IOException unwritten) {
            failures++;
            failureLog.onFailure(clock.getAsLong(), WRITE_STATE, unwritten.getMessage());
        }
    }

    long failures() {
        return failures;
    }
}
