package peppergauge.plugin.crew;

import peppergauge.plugin.box.Box;
import peppergauge.plugin.box.Fault;

/** A call, on one of the crew's threads. Exactly one of {@code failed} and {@code ended} is called after it. */
public interface Job {

    /** Whether nobody waits for it any more; it is passed over then, and nothing else is called. */
    default boolean withdrawn() {
        return false;
    }

    void run(Box box) throws Fault;

    /** @param tookMs on the thread, ms */
    void ended(double tookMs);

    /** @param tookMs on the thread, ms; 0 if it was not begun */
    void failed(String why, double tookMs);
}
