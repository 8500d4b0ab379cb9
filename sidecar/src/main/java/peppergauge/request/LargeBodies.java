package peppergauge.request;

/**
 * Takes bodies that are too long to be held whole by their messages. The platform's sidecar takes none; an installation
 * may add something that does. Only the owner's thread comes here.
 */
public interface LargeBodies {

    /** Takes none. */
    LargeBodies NONE = new LargeBodies() {};

    /** Why a long body is not taken, or no longer. */
    enum Rejection {
        /** Longer than any that is taken. */
        TOO_LONG,
        /** There is no room for it now; nothing of it was passed on. */
        NO_CAPACITY,
        /** Its sender stopped, or is too slow. */
        TOO_SLOW
    }

    /** A request's long body as its frontend has it come in. */
    interface Upload extends BodyWriter.Producer {

        /** The session is to open: its body is whole, or is passed on as it comes. Called once at most. */
        void onReady();

        /**
         * It is taken no further; nothing else is called after this.
         *
         * @param retryAfterMs 0 gives no advice on when
         */
        void onRejected(Rejection why, double retryAfterMs);
    }

    /** Whether any long body is taken. */
    default boolean acceptsLargeBodies() {
        return false;
    }

    /**
     * A request's body is announced, or has turned out long; none of it was handed in yet.
     *
     * @param asked what the session will open with; its message has no body yet
     * @param length its bytes in all, -1 where only its end tells
     * @return null if it is refused, which {@code upload} was then told
     */
    default BodyWriter openRequestBody(IncomingRequest asked, long length, Upload upload) {
        upload.onRejected(Rejection.TOO_LONG, 0);
        return null;
    }

    /**
     * An answer with a long body has begun.
     *
     * @return null if it is too long
     */
    default BodyWriter openResponseBody(long length, BodyWriter.Producer sender) {
        return null;
    }

    /** Bytes that the kernel may hold of a long body in each direction; 0 leaves that to it. */
    default int socketBufferBytes() {
        return 0;
    }

    /** How long bodies that are under way may take to finish once the program was told to end, ms. */
    default double shutdownGraceMs() {
        return 0;
    }

    /** Runs a task as soon as no long body is under way: those that come in, whose sessions are not open yet, too. */
    default void whenIdle(Runnable task) {
        task.run();
    }
}
