package peppergauge.backend;

import java.util.function.DoubleSupplier;
import peppergauge.request.Clock;

/**
 * The times of one attempt, ms.
 *
 * @param arrivedMs when the input that is being read has arrived, as far as that is known
 * @param untilMs when the attempt is given up
 */
record AttemptClock(Clock clock, DoubleSupplier arrivedMs, double untilMs) {

    /** The current time. */
    double nowMs() {
        return clock.nowMs();
    }

    /** How long the response is still waited for. */
    double remainingMs() {
        return untilMs - clock.nowMs();
    }

    /** When the input that is being read has arrived, as far as that is known. */
    double inputArrivedMs() {
        return arrivedMs.getAsDouble();
    }
}
