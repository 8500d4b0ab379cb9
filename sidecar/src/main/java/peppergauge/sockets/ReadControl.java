package peppergauge.sockets;

/** A session whose input can be held back, so that its protocol handles what it has buffered before it reads more. */
public interface ReadControl {

    /** Suspends or resumes reads. While suspended, a read returns no bytes and leaves the input in the socket. */
    void suspendReads(boolean suspended);
}
