package peppergauge.lab.soak;

import java.util.Locale;

/** What can happen to the sidecar or round it. */
public enum StepKind {
    /** Its configuration names the other address of discovery; SIGHUP. */
    MOVE_DISCOVERY,
    /** SIGHUP, and nothing has changed. */
    SAME_CONFIGURATION,
    /** The configuration is cut in half; SIGHUP. */
    TORN_CONFIGURATION,
    /** The configuration names no address; SIGHUP. */
    WRONG_CONFIGURATION,
    /** Discovery takes connections and says nothing, on open watches too. */
    DISCOVERY_SILENT,
    /** Discovery answers each call half a second late. */
    DISCOVERY_SLOW,
    /** Discovery answers calls with 503. */
    DISCOVERY_CROWDED,
    /** All open watches fall silent for good. */
    WATCHES_SILENT,
    /** All watches are reset. */
    RESET_WATCHES,
    /** A server drains, and stays up; a new one takes its place. */
    DRAIN,
    /** Servers take requests and answer none. */
    SERVERS_HANG,
    /** Servers close or reset their idle connections, or forget them without a word. */
    IDLE_CONNECTIONS_END,
    /** Each attempt fails at once. */
    SERVERS_FAIL,
    /** The process stands still (SIGSTOP, SIGCONT). */
    HOLD,
    /** Idle clients open so many connections. */
    CROWD,
    /** So many clients stop in the middle of a request, and stay. */
    HALF_REQUESTS,
    /** Clients ask nothing. */
    QUIET,
    /** SIGTERM a second time; counted from the first. */
    TERMINATE_AGAIN,
    /** SIGHUP in the shutdown; counted from SIGTERM. */
    HANG_UP_AT_THE_END,
    /** Servers hang through the whole of the shutdown. */
    HANG_AT_THE_END,
    /** All clients rest after SIGTERM until their connections are ended, or shortly after that. */
    REST_AT_THE_END,
    /** Idle clients fill the descriptors through the shutdown. */
    CROWD_AT_THE_END,
    /** A life before the one that is looked at gets SIGTERM so long after its start. */
    TERMINATE_START;

    /** Whether its time counts from SIGTERM. */
    boolean isAfterTermination() {
        return this == TERMINATE_AGAIN || this == HANG_UP_AT_THE_END;
    }

    /** As written in a file. */
    public String written() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
