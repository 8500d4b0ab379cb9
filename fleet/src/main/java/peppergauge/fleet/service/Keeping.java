package peppergauge.fleet.service;

import java.io.IOException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import peppergauge.fleet.disk.KeptFile;
import peppergauge.fleet.disk.KeptState;
import peppergauge.log.Log;
import peppergauge.snapshot.storage.FailureLog;

/** The duty that writes what was merged to disk; where that fails all goes on, and less outlives the process. */
final class Keeping {

    private final KeptFile<KeptState> file;
    private final Latest<Supplier<KeptState>> accounts;
    private final LongSupplier clock;
    private final FailureLog complaints = new FailureLog(line -> Log.line("fleet", line));
    private volatile long failed;

    Keeping(KeptFile<KeptState> file, Latest<Supplier<KeptState>> accounts, LongSupplier clock) {
        this.file = file;
        this.accounts = accounts;
        this.clock = clock;
    }

    boolean step() {
        Supplier<KeptState> account = accounts.take();
        if (account != null) {
            write(account.get());
        }
        return account != null;
    }

    void write(KeptState state) {
        try {
            file.write(state, clock.getAsLong());
            complaints.onSuccess("keeping what was merged");
        } catch (IOException unwritten) {
            failed++;
            complaints.onFailure(clock.getAsLong(), "what was merged is not kept", unwritten.getMessage());
        }
    }

    long failed() {
        return failed;
    }
}
