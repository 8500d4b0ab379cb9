package peppergauge.plugin.box;

/** A call that did not end well; its instance is of no use any more. */
public final class Fault extends Exception {

    private static final long serialVersionUID = 1L;

    public Fault(String why) {
        super(why);
    }

    Fault(Throwable thrown) {
        super(
                thrown instanceof StackOverflowError
                        ? "call stack exhausted"
                        : thrown.getMessage() == null ? thrown.getClass().getSimpleName() : thrown.getMessage());
    }
}
