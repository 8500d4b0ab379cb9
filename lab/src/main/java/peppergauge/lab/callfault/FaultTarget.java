package peppergauge.lab.callfault;

import java.util.Locale;

/** The descriptors whose calls fail. */
public enum FaultTarget {
    ANY,
    /** Sockets of the sidecar's clients, the listening one included. */
    CLIENTS,
    /** Sockets to servers and to discovery. */
    SERVERS,
    /** Regular files and folders. */
    FILES,
    /** Standard error. */
    LOG;

    /** Returns the name in the library's environment. */
    String environmentName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
