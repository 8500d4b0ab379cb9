package peppergauge.request;

/**
 * Accepts bodies that are too large for their messages to hold. The plain sidecar accepts none; an extension may
 * provide an implementation. Event-loop thread only.
 */
public interface LargeBodies {

    /** Accepts none. */
    LargeBodies NONE = new LargeBodies() {};

    /** Why a large body is not accepted, or is no longer. */
    enum Rejection {
        /** Larger than the limit. */
        TOO_LONG,
        /** No capacity at present; nothing of it was forwarded. */
        NO_CAPACITY,
        /** Its sender stopped, or is too slow. */
        TOO_SLOW
    }

    /** The frontend's end of a request with a large body. */
    interface Upload extends BodyWriter.Producer {

        /** The request may be handled: its body is complete, or is forwarded as it arrives. Called at most once. */
        void onReady();

        /**
         * The body is rejected. Nothing else is called after this.
         *
         * @param retryAfterMs 0 gives no advice
         */
        void onRejected(Rejection reason, double retryAfterMs);
    }

    /** Whether any large body is accepted. */
    default boolean acceptsLargeBodies() {
        return false;
    }

    /**
     * Opens a request's body; none of it has been written yet.
     *
     * @param request the request, its message without a body
     * @param length its bytes, -1 if unknown until it ends
     * @return null if the body is rejected, of which {@code upload} was notified
     */
    default BodyWriter openRequestBody(IncomingRequest request, long length, Upload upload) {
        upload.onRejected(Rejection.TOO_LONG, 0);
        return null;
    }

    /**
     * Opens the body of a response that has begun.
     *
     * @param length its bytes, -1 if unknown until it ends
     * @return null if it is too large
     */
    default BodyWriter openResponseBody(long length, BodyWriter.Producer producer) {
        return null;
    }

    /** The size of the kernel's buffers for a large body, per direction; 0 leaves them at their default. */
    default int socketBufferBytes() {
        return 0;
    }

    /** How long bodies in transit may take to complete at a graceful shutdown, ms. */
    default double shutdownGraceMs() {
        return 0;
    }

    /** Runs a callback as soon as no large body is in transit, those of requests that are not handled yet included. */
    default void whenIdle(Runnable callback) {
        callback.run();
    }
}
