package peppergauge.lab.history;

/** Sorts of events. Each says what {@code who}, {@code whom}, {@code id}, {@code number} and {@code text} hold. */
public enum What {

    /** The load begins. */
    BEGIN,
    /** A schedule of faults begins; others may have been played over the same processes before it. */
    ROUND,
    /** The load ends: nothing is asked after it. */
    END,
    /**
     * A client asks a sidecar (whom) with a session's id; number: its deadline in ms; text: safe or unsafe, its class
     * and, if there are stations, its station.
     */
    ASKED,
    /** A client has what it gets (who: the sidecar); text: the status or a word of {@code load.Outcome}. */
    ENDED,
    /** The rig has written a client's request, id, whole to the socket of its sidecar (whom). */
    HANDED,
    /** The rig has read the sidecar's (who) answer to it; text: its status. */
    REPLIED,
    /**
     * A sidecar (who) closed a connection before it had the request, id, that was on its way there; number: for how
     * many ms nothing had been asked on it.
     */
    HUNG_UP,
    /** A sidecar (who) has written an attempt to a server (whom) whole; the time is its first byte's; number: where. */
    SENT,
    /** That attempt is out no longer; text: answered, closed (by the sidecar) or broken. */
    SETTLED,
    /** A backend server (who) begins to work on a session; text: the method. */
    BEGUN,
    /** It has turned one away. */
    TURNED_AWAY,
    /** A sidecar (who) was told of a server (whom); text: its state. */
    TOLD,
    /** A reader (who) takes a fleet table; number: its version. */
    TABLE,
    /** A sidecar (who) opens a connection to a backend server (whom). */
    CONNECTED,
    /** A sidecar (who) calls discovery (whom), whatever becomes of the call; number: which connection. */
    CALLED,
    /** That call waits no longer; text: answered, closed (by the sidecar) or broken. */
    CALL_ENDED,
    /** What a daemon (who) heard of the fleet service in this life of its process; text: what; number: how often. */
    HEARD,
    /** An instance of the fleet service (who) knows so many daemons: number; text: whose table it hands out. */
    VIEW,
    /** A process is being started. */
    STARTED,
    /** A reader (who) tells what is in force; number: the version that it holds, 0 for none; text: {@link Leaning}. */
    STEERED,
    /** A process is ready; text: how it can be reached. */
    UP,
    /** A process was ended, by SIGKILL or otherwise, on purpose. */
    DOWN,
    /** A process ended that nobody ended; text: its last words. */
    LOST,
    /** A process was sent SIGTERM. */
    TERMINATED,
    /** A process stands still from now on. */
    STOPPED,
    /** It goes on. */
    CONTINUED,
    /** A fault begins at a link or process (who); id: its number; text: which. */
    FAULT,
    /** It is over. */
    HEALED,
    /** A thread of the lab's (who) was this much later than it meant to be: number, ms. */
    LATE,
    /** A process (who) was let wait for a CPU so long since the last look: number, ms; text: when that was, ns. */
    WAITED,
    /** A call was given up by discovery, since too many were before it. */
    CALL_GIVEN_UP
}
