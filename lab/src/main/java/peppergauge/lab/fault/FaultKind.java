package peppergauge.lab.fault;

import java.util.Locale;

/** Kind of a fault on a link or at a process. The constants whose comment names a size need one. */
public enum FaultKind {

    /** Bytes of both sides are discarded silently. Connections that lost bytes are reset when the fault ends. */
    DROP(true, ""),
    /** Bytes from the caller are discarded silently. */
    DROP_OUT(true, ""),
    /** Bytes from the callee are discarded silently. */
    DROP_BACK(true, ""),
    /** Bytes are held back and are all delivered when the fault ends. */
    STALL(true, ""),
    /** Bytes are forwarded slowly (size: bytes per second in each direction). */
    SLOW(true, "bytes a second"),
    /** Bytes are delayed (size: ms in each direction). */
    DELAY(true, "ms, each way"),
    /** All open connections are reset at once; later connections are unaffected. */
    RESET(true, ""),
    /** New connections are accepted by the operating system and forwarded late (size: ms). */
    ACCEPT_LATE(true, "ms"),
    /** New connections are accepted and never carry any bytes. */
    ACCEPT_MUTE(true, ""),
    /** New connections are never established. */
    CUT_NEW(true, ""),
    /** Open connections carry no bytes any more; new connections are unaffected. */
    CUT_OPEN(true, ""),
    /** SIGKILL, and a restart after the length with the data directory kept. */
    KILL(false, ""),
    /** SIGKILL, and a restart with an empty data directory. */
    KILL_WIPED(false, ""),
    /** SIGKILL, and a restart with the newest file truncated or corrupted at its end. */
    KILL_TORN(false, ""),
    /** SIGTERM, followed by SIGKILL after a timeout; a restart after the length. */
    TERMINATE(false, ""),
    /** SIGSTOP, followed by SIGCONT after the length. */
    STOP(false, ""),
    /** A backend server starts draining, ends after half of the length, and is restarted after all of it. */
    LEAVE(false, "");

    private final boolean affectsLinks;
    private final String size;

    FaultKind(boolean affectsLinks, String size) {
        this.affectsLinks = affectsLinks;
        this.size = size;
    }

    /** Returns whether the fault applies to links; otherwise it applies to processes. */
    public boolean affectsLinks() {
        return affectsLinks;
    }

    /** Returns the unit of the size; empty if the kind has no size. */
    public String size() {
        return size;
    }

    /** Returns whether the process does not run while the fault is in effect. */
    public boolean ends() {
        return this == KILL || this == KILL_WIPED || this == KILL_TORN || this == TERMINATE || this == LEAVE;
    }

    /** Returns the name in operator files. */
    public String written() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
