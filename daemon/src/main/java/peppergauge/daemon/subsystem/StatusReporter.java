package peppergauge.daemon.subsystem;

/** A running subsystem with a status command of its own at the admin socket. */
public interface StatusReporter {

    /** Returns the name of the command. */
    String command();

    /** Returns the status as maps, lists, strings and numbers. Thread-safe; takes a second at most. */
    Object report();
}
