package peppergauge.backend;

import java.util.function.DoubleSupplier;
import peppergauge.request.Clock;

/**
 * The current time and the deadline of one attempt, in ms.
 *
 * @param arrivedMs supplies the estimated arrival time of the input that is being read
 * @param untilMs the time at which the attempt times out
 */
record AttemptClock(Clock clock, DoubleSupplier arrivedMs, double untilMs) {

    /** The current time. */
    double nowMs() {
        return clock.nowMs();
    }

    /** The time until the attempt times out. */
    double remainingMs() {
        return untilMs - clock.nowMs();
    }

    /** The estimated arrival time of the input that is being read. */
    double inputArrivedMs() {
        return arrivedMs.getAsDouble();
    }
}
