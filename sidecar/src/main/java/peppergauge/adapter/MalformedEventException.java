package peppergauge.adapter;

/** Thrown for valid JSON that is not a batch of events. The message names the field and what was expected and read. */
final class MalformedEventException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedEventException(String problem) {
        super("malformed: " + problem);
    }

    /**
     * Throws unless the condition holds.
     *
     * @param field name of the field, or of the part of the input
     * @param actual what was read; null if the field is missing
     */
    static void expect(boolean holds, String field, String expected, Object actual) throws MalformedEventException {
        if (!holds) {
            throw new MalformedEventException(field + " must be " + expected + " but is " + actual);
        }
    }
}
