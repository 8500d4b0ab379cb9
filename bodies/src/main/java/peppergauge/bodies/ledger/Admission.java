package peppergauge.bodies.ledger;

/** The decision on a request body before its first byte is read. */
public enum Admission {
    /** The body is accepted and buffered for retries. */
    BUFFERED,
    /** The body is accepted but streamed a single time as it arrives. The ledger does not account for it. */
    STREAMED,
    /** The body is rejected because it is longer than the limit: 413. */
    TOO_LONG,
    /** The body is rejected for lack of capacity: 503, with Retry-After where the settings allow it. */
    NO_CAPACITY
}
