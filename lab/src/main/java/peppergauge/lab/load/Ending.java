package peppergauge.lab.load;

/**
 * How a request ended for its client.
 *
 * @param how the status, or one of the words below
 * @param retryAfterNs what the answer asks the client to wait; 0 if it does not
 */
public record Ending(String how, long retryAfterNs) {

    /** No answer within the client's patience and 50 ms. */
    public static final String GAVE_UP = "gave up";
    /** The connection ended first. */
    public static final String CLOSED = "closed";
    /** No connection came up. */
    public static final String REFUSED = "refused";
    /** All connections were busy until the patience ended. */
    public static final String UNSENT = "unsent";
    /** A 200 with what was made for another request. */
    public static final String WRONG = "wrong";
    /** A 200 with what a backend server made for this request. */
    public static final String SERVED = "200";

    public boolean served() {
        return how.equals(SERVED);
    }

    /** Whether trying again is harmless. */
    public boolean denied() {
        return how.equals("503") || how.equals("429");
    }
}
