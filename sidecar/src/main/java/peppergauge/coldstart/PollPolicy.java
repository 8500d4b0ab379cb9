package peppergauge.coldstart;

/**
 * Schedules the calls of one client to one watched service. All times are in ms.
 *
 * <p>Methods may be called from any thread, one at a time.
 */
public interface PollPolicy {

    /** Returns the delay before the first call. */
    double initialDelayMs();

    /** Returns the timeout of the next call, from its start to the response's head, including the time to connect. */
    double responseTimeoutMs();

    /** Returns how many calls that timed out stay open beside the newest one. */
    default int maxHedgedCalls() {
        return 0;
    }

    /** Returns how long a call stays open after its response timeout. */
    default double hedgedCallTimeoutMs() {
        return 0;
    }

    /** Returns the idle timeout of a response that has started. */
    double idleTimeoutMs();

    /** A response has started, {@code latencyMs} after its connection was established. */
    default void onResponseStarted(double latencyMs) {}

    /** The service has rejected a call because it is overloaded. */
    default void onOverloaded() {}

    /** An update or a heartbeat was received. */
    void onSuccess();

    /** Returns the delay before the next call, after a response timeout or an idle timeout. */
    double delayAfterTimeoutMs();

    /** Returns the delay before the next call, after one that was refused, failed or ended. */
    double delayAfterFailureMs();
}
