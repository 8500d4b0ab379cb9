package peppergauge.lab.callfault;

import java.util.Locale;

/** System calls that can fail. */
public enum SystemCall {
    ACCEPT(false),
    SOCKET(true),
    CONNECT(true),
    SETSOCKOPT(false),
    GETSOCKOPT(true),
    POLL(true),
    EPOLL_CTL(false),
    EPOLL_WAIT(false),
    READ(false),
    WRITE(false),
    SHUTDOWN(false),
    CLOSE(false),
    FSYNC(false),
    RENAME(false);

    private final boolean isPartOfConnecting;

    SystemCall(boolean isPartOfConnecting) {
        this.isPartOfConnecting = isPartOfConnecting;
    }

    /** Whether a connection to a server is not established if this call fails, so that nothing was sent. */
    boolean isPartOfConnecting() {
        return isPartOfConnecting;
    }

    /** Returns the name of the C function. */
    String functionName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
