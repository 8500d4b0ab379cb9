package peppergauge.adapter;

/** Valid JSON that is no batch of events; the message says what was expected. */
final class MalformedEventException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedEventException(String what) {
        super("malformed: " + what);
    }

    /** Throws unless the expectation holds. */
    static void expect(boolean holds, String what) throws MalformedEventException {
        if (!holds) {
            throw new MalformedEventException(what);
        }
    }
}
