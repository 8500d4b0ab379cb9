package peppergauge.lab.load;

/** What a generator asks for; called on its loop's thread only. */
public interface Source {

    /** Never, as a time. */
    long NEVER = Long.MAX_VALUE;

    /**
     * In the open loop: when the next request comes; asked right after {@link #next} gave the one before.
     *
     * @param lastNs when the one before came, in System.nanoTime; or the generator's start
     * @return in System.nanoTime, not before {@code lastNs}; or {@link #NEVER}
     */
    long nextNs(long lastNs);

    /** The request that comes now. */
    Request next();

    /**
     * A request has ended.
     *
     * @param wantedNs when it came
     */
    default void ended(Request request, Ending ending, long wantedNs) {}
}
