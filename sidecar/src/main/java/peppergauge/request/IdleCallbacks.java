package peppergauge.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Runs callbacks once no request is pending or open. Event-loop thread only. */
final class IdleCallbacks {

    private final List<Runnable> callbacks = new ArrayList<>();
    private final BooleanSupplier isIdle;

    /** @param isIdle whether no request is pending or open */
    IdleCallbacks(BooleanSupplier isIdle) {
        this.isIdle = isIdle;
    }

    /** Adds a callback that runs once, at the first {@link #runIfIdle} that finds no request. */
    void add(Runnable callback) {
        callbacks.add(callback);
    }

    /** Runs and removes all callbacks if there is no request. */
    void runIfIdle() {
        if (callbacks.isEmpty() || !isIdle.getAsBoolean()) {
            return;
        }
        List<Runnable> due = List.copyOf(callbacks);
        callbacks.clear();
        due.forEach(ErrorContainment::run);
    }
}
