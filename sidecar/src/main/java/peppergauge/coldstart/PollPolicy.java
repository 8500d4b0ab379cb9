package peppergauge.coldstart;

/**
 * When one caller asks a service that tells it something, and how long it waits for an answer; all times in ms. For one
 * caller and one service; the calls come from any thread, one at a time.
 */
public interface PollPolicy {

    /** The pause before the first call. */
    double initialDelayMs();

    /**
     * Longest from the begin of the next call to its answer's head, the connecting included. After it the call counts
     * as unanswered, and the next one is made.
     */
    double responseTimeoutMs();

    /** How many unanswered calls stay open beside the one made last, in case that they are answered yet. */
    default int maxHedgedCalls() {
        return 0;
    }

    /** How long an unanswered call stays open at the most. */
    default double hedgedCallTimeoutMs() {
        return 0;
    }

    /** Longest silence of an answer that has begun. */
    double idleTimeoutMs();

    /** An answer has begun, so long after its connection came up. */
    default void onResponseStarted(double afterMs) {}

    /** The service has said that it has more calls than it can answer. */
    default void onOverloaded() {}

    /** A whole answer, or a sign that nothing has changed, has come: the service is well. */
    void onSuccess();

    /** The pause before the next call, after one that got no answer or whose answer fell silent. */
    double delayAfterTimeoutMs();

    /** The pause before the next call, after one that was refused, failed, broke off or ended. */
    double delayAfterFailureMs();
}
