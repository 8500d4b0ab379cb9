package peppergauge.lab.load;

/** Supplies a generator with requests and their arrival times. Called on the loop's thread only. */
public interface ArrivalSource {

    /** The time of an arrival that never happens. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Returns the arrival time of the next request. Called in the open loop only, after {@link #next}.
     *
     * @param lastNs System.nanoTime of the last arrival, or of the generator's start
     * @return a time of System.nanoTime, not before {@code lastNs}, or {@link #NEVER}
     */
    long nextNs(long lastNs);

    /** Returns the request that arrives now. */
    Request next();

    /**
     * A request has ended.
     *
     * @param arrivalNs System.nanoTime of its arrival
     */
    default void ended(Request request, RequestOutcome ending, long arrivalNs) {}
}
