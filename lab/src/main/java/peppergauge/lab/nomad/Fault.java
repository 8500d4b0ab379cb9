package peppergauge.lab.nomad;

/** What is wrong with the API while it is set. */
public enum Fault {
    NONE,
    /** Connections are accepted and closed by a reset. */
    RESET,
    /** The port does not listen. */
    REFUSE,
    /** Each answer comes a second late. */
    DELAY,
    /** An answer comes a byte every 50 ms. */
    TRICKLE,
    /** Requests are read and never answered. */
    SILENT,
    /** 429 with Retry-After. */
    TOO_MANY,
    /** 500. */
    ERROR,
    /** 403, as for a token that has expired. */
    FORBIDDEN,
    /** Lists are empty, by mistake. */
    EMPTY,
    /** Lists are those of some changes ago, with their index, from a server that claims to be up to date. */
    OLDER,
    /** As OLDER, from a server that says that it has lost its leader. */
    UNSURE,
    /** Lists are right, but the index is one that went back. */
    INDEX_BACK,
    /** 200 and something that is no JSON. */
    GARBAGE,
    /** 200 and 100 MB. */
    HUGE,
    /** 200 and a list a thousand lists deep. */
    DEEP,
    /** Each registration is told twice. */
    DUPLICATES,
    /** Streams end in the middle of a line. */
    HALF_LINE,
    /** Streams only beat. */
    HEARTBEATS_ONLY,
    /** Streams are not allowed. */
    NO_STREAM
}
