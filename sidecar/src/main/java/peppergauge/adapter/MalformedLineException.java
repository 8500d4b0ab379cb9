package peppergauge.adapter;

/** A line of input that is not valid; the message says which line, and what is wrong. */
public final class MalformedLineException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Names the line and what is wrong with it.
     *
     * @param where the line, counted from 1, and the column if it is known
     */
    MalformedLineException(String where, String what, Throwable cause) {
        super(where + ": " + what, cause);
    }
}
