package peppergauge.lab.load;

/**
 * How a request ended for its client.
 *
 * @param how the status code, or {@link #GAVE_UP}, {@link #CLOSED}, {@link #REFUSED}, {@link #UNSENT} or
 *     {@link #WRONG}
 * @param retryAfterNs the delay that Retry-After asks for; 0 without one
 */
public record RequestOutcome(String how, long retryAfterNs) {

    /** The client timed out: no response within its timeout and a grace of 50 ms. */
    public static final String GAVE_UP = "gave up";
    /** The connection was closed before a response. */
    public static final String CLOSED = "closed";
    /** No connection was established. */
    public static final String REFUSED = "refused";
    /** All connections were busy until the client's timeout. */
    public static final String UNSENT = "unsent";
    /** A response 200 that belongs to another request. */
    public static final String WRONG = "wrong";
    /** A response 200 with the body that a backend server made for this request. */
    public static final String SERVED = "200";

    /** Returns whether the client got the response to its request. */
    public boolean served() {
        return how.equals(SERVED);
    }

    /** Returns whether the request was rejected, so that a retry is safe. */
    public boolean denied() {
        return how.equals("503") || how.equals("429");
    }
}
