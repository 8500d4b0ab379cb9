package peppergauge.adapter;

/** Thrown for an invalid line of input. The message names the line and the problem. */
public final class MalformedLineException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param position number of the line, from 1, and the column if it is known
     */
    MalformedLineException(String position, String problem, Throwable cause) {
        super(position + ": " + problem, cause);
    }
}
