package peppergauge.lab.soak;

import java.util.Locale;

/** Kind of a step of a run. */
public enum StepKind {
    /** The configuration changes to the other address of discovery, followed by SIGHUP. */
    MOVE_DISCOVERY,
    /** SIGHUP without a change of the configuration. */
    SAME_CONFIGURATION,
    /** The configuration is truncated to half, followed by SIGHUP. */
    TORN_CONFIGURATION,
    /** The configuration has an invalid discovery address, followed by SIGHUP. */
    WRONG_CONFIGURATION,
    /** Discovery accepts connections without responding, and sends nothing on open watches. */
    DISCOVERY_SILENT,
    /** Discovery responds to each call half a second late. */
    DISCOVERY_SLOW,
    /** Discovery responds to calls with 503. */
    DISCOVERY_CROWDED,
    /** All open watches fall silent for good. */
    WATCHES_SILENT,
    /** All watches are reset. */
    RESET_WATCHES,
    /** A server drains but keeps running, and a new one replaces it. */
    DRAIN,
    /** Servers accept requests and respond to none. */
    SERVERS_HANG,
    /** Servers close, reset or silently ignore their idle connections. */
    IDLE_CONNECTIONS_END,
    /** Each attempt fails at once. */
    SERVERS_FAIL,
    /** The process is paused (SIGSTOP, SIGCONT). */
    HOLD,
    /** Idle clients open as many connections as the count says. */
    CROWD,
    /** As many clients as the count says stop in the middle of a request and keep the connection open. */
    HALF_REQUESTS,
    /** Clients send no requests. */
    QUIET,
    /** System calls of the sidecar fail; the count is the seed of the fault. */
    CALLS_FAIL,
    /** A second SIGTERM; timed from the first. */
    TERMINATE_AGAIN,
    /** SIGHUP during shutdown; timed from SIGTERM. */
    HANG_UP_AT_THE_END,
    /** Servers do not respond during the whole shutdown. */
    HANG_AT_THE_END,
    /** All clients stay idle after SIGTERM until their connections are closed, or shortly after that. */
    REST_AT_THE_END,
    /** Idle clients use up the descriptors during shutdown. */
    CROWD_AT_THE_END,
    /** An earlier run of the sidecar gets SIGTERM this long after its start. */
    TERMINATE_START;

    /** Returns whether the step's time counts from SIGTERM. */
    boolean isAfterTermination() {
        return this == TERMINATE_AGAIN || this == HANG_UP_AT_THE_END;
    }

    /** Returns the name in operator files. */
    public String written() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
