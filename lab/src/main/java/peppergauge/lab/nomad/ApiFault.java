package peppergauge.lab.nomad;

/** Faults of the API. */
public enum ApiFault {
    NONE,
    /** Connections are accepted and then reset. */
    RESET,
    /** The port does not listen. */
    REFUSE,
    /** Each response is delayed by a second. */
    DELAY,
    /** Responses are written one byte every 50 ms. */
    TRICKLE,
    /** Requests are read and never answered. */
    SILENT,
    /** Responses are 429 with Retry-After. */
    TOO_MANY,
    /** Responses are 500. */
    ERROR,
    /** Responses are 403, as for an expired token. */
    FORBIDDEN,
    /** Lists are empty although services are registered. */
    EMPTY,
    /** Lists and their index are some changes old, from a server that claims to be up to date. */
    OLDER,
    /** As OLDER, from a server that reports that it has no leader. */
    UNSURE,
    /** Lists are current, but their index goes backwards. */
    INDEX_BACK,
    /** Responses are 200 with malformed JSON. */
    GARBAGE,
    /** Responses are 200 with a body of 100 MB from the stand-in, or of 8 MiB in the emulator. */
    HUGE,
    /** Responses are 200 with a thousand nested lists. */
    DEEP,
    /** Each registration is listed twice. */
    DUPLICATES,
    /** Streams end in the middle of a line. */
    HALF_LINE,
    /** Streams send heartbeats only. */
    HEARTBEATS_ONLY,
    /** Streams are rejected with 403. */
    NO_STREAM
}
