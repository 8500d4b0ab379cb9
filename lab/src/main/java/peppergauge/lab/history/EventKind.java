package peppergauge.lab.history;

/**
 * The kinds of events. Each constant says what {@code who}, {@code whom}, {@code id}, {@code number} and {@code text}
 * of its {@link Event} hold.
 */
public enum EventKind {

    /** The load begins. */
    BEGIN,
    /** A round of scheduled faults begins; earlier rounds may have run over the same processes. */
    ROUND,
    /** The load ends; no request is sent after it. */
    END,
    /**
     * A client sends a request with an id to a sidecar (whom); number: its deadline in ms; text: safe or unsafe, the
     * class of the request and, if there are stations, its station.
     */
    ASKED,
    /**
     * A client has the outcome of a request to a sidecar (who); text: the status or another value of
     * {@code load.RequestOutcome.how}.
     */
    ENDED,
    /** The rig has written a client's whole request, id, to the socket of its sidecar (whom). */
    HANDED,
    /** The rig has read the response of a sidecar (who) to the request, id; text: the status. */
    REPLIED,
    /**
     * A sidecar (who) closed a connection before it had the request, id, that was on its way there; number: how many
     * ms the connection had been idle.
     */
    HUNG_UP,
    /**
     * A sidecar (who) has written a whole attempt to a server (whom). The time is that of the first byte; number: the
     * number of the connection.
     */
    SENT,
    /** The attempt is no longer in flight; text: answered, closed (by the sidecar) or broken. */
    SETTLED,
    /** A backend server (who) begins to execute a request; text: the method. */
    BEGUN,
    /** A backend server (who) has rejected a request. */
    TURNED_AWAY,
    /** A sidecar (who) received the state of a server (whom) from discovery; text: the state. */
    TOLD,
    /** A reader (who) takes a fleet table; number: its version. */
    TABLE,
    /** A sidecar (who) opens a connection to a backend server (whom). */
    CONNECTED,
    /** A sidecar (who) calls discovery (whom), whatever the outcome; number: the number of the connection. */
    CALLED,
    /** The call to discovery no longer waits; text: answered, closed (by the sidecar) or broken. */
    CALL_ENDED,
    /**
     * Responses of the fleet service that a daemon (who) received since the start of its process; text: the kind of
     * response; number: how many.
     */
    HEARD,
    /** What an instance of the fleet service (who) knows; number: known daemons; text: whose table it serves. */
    VIEW,
    /** A process is being started. */
    STARTED,
    /**
     * A reader (who) reports the factors in force; number: the version of its table, 0 for none; text: {@link
     * ZoneFactorReport}.
     */
    STEERED,
    /** A process is ready; text: its addresses. */
    UP,
    /** A process was terminated on purpose, by SIGKILL or otherwise. */
    DOWN,
    /** A process exited that was not terminated; text: the end of its output. */
    LOST,
    /** A process was sent SIGTERM. */
    TERMINATED,
    /** A process is paused. */
    STOPPED,
    /** A paused process continues. */
    CONTINUED,
    /** A fault begins at a link or process (who); id: its number; text: the kind of fault. */
    FAULT,
    /** The fault ends; fields as for its begin. */
    HEALED,
    /** A thread of the lab (who) ran later than scheduled; number: by how many ms. */
    LATE,
    /**
     * A process (who) waited for a CPU since the previous measurement; number: for how many ms; text: the time of the
     * previous measurement, ns.
     */
    WAITED,
    /** Discovery dropped a call, since too many calls were queued before it. */
    CALL_GIVEN_UP
}
