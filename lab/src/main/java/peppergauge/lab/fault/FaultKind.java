package peppergauge.lab.fault;

import java.util.Locale;

/** What can go wrong. Where a size is needed, its meaning stands in brackets. */
public enum FaultKind {

    /** What either side sends is lost without a word; what lost bytes is reset when the link is healed. */
    DROP(true, ""),
    /** Only what the caller sends is lost. */
    DROP_OUT(true, ""),
    /** Only what the called one sends is lost. */
    DROP_BACK(true, ""),
    /** Nothing passes, and all of it comes when the link is healed. */
    STALL(true, ""),
    /** Bytes pass slowly (size: bytes a second, each way). */
    SLOW(true, "bytes a second"),
    /** Bytes come late (size: ms, each way). */
    DELAY(true, "ms, each way"),
    /** All open connections are reset, at once; what comes later passes. */
    RESET(true, ""),
    /** New connections are taken by the system, and passed on late (size: ms). */
    ACCEPT_LATE(true, "ms"),
    /** New connections are taken, and nothing is ever said on them. */
    ACCEPT_MUTE(true, ""),
    /** New connections never come up. */
    CUT_NEW(true, ""),
    /** Open connections are silent for good; new ones pass. */
    CUT_OPEN(true, ""),
    /** SIGKILL; back after the length, with its disk. */
    KILL(false, ""),
    /** SIGKILL; back without what it had on disk. */
    KILL_WIPED(false, ""),
    /** SIGKILL; back with the newest file cut short or garbled at its end. */
    KILL_TORN(false, ""),
    /** SIGTERM, and SIGKILL if it takes too long; back after the length. */
    TERMINATE(false, ""),
    /** SIGSTOP, and SIGCONT after the length. */
    STOP(false, ""),
    /** A backend server is told to leave, ends after half of the length, and is back, new, after all of it. */
    LEAVE(false, "");

    private final boolean affectsLinks;
    private final String size;

    FaultKind(boolean affectsLinks, String size) {
        this.affectsLinks = affectsLinks;
        this.size = size;
    }

    /** Whether it happens to links; else to processes. */
    public boolean affectsLinks() {
        return affectsLinks;
    }

    /** What its size counts; empty if it has none. */
    public String size() {
        return size;
    }

    /** Whether the process is gone meanwhile. */
    public boolean ends() {
        return this == KILL || this == KILL_WIPED || this == KILL_TORN || this == TERMINATE || this == LEAVE;
    }

    /** As written in a file. */
    public String written() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
