package peppergauge.daemon.subsystem;

/** A running subsystem with its own status command on the admin socket. */
public interface StatusReporter {

    /** Returns the name of the command. */
    String command();

    /** Returns the status as maps, lists, strings and numbers. Thread-safe; returns within a second. */
    Object report();
}
