package peppergauge.request;

/**
 * Accepts bodies that are too large to be held by their messages. The sidecar alone accepts none; an extension may
 * provide an implementation. Event-loop thread only.
 */
public interface LargeBodies {

    /** Accepts no large body. */
    LargeBodies NONE = new LargeBodies() {};

    /** Why a large body is rejected, before or after its first byte. */
    enum Rejection {
        /** The body is larger than the limit. */
        TOO_LONG,
        /** There is no capacity at present; no part of the body was forwarded. */
        NO_CAPACITY,
        /** The sender stopped or is too slow. */
        TOO_SLOW
    }

    /** The frontend's end of a request with a large body. */
    interface Upload extends BodyWriter.Producer {

        /** The request may be handled: its body is complete or will be forwarded as it arrives. Called once at most. */
        void onReady();

        /**
         * The body is rejected. No other method is called afterwards.
         *
         * @param retryAfterMs delay after which the client should retry; 0 for no advice
         */
        void onRejected(Rejection reason, double retryAfterMs);
    }

    /** Whether any large body is accepted. */
    default boolean acceptsLargeBodies() {
        return false;
    }

    /**
     * Opens the body of a request, before any of its bytes are written.
     *
     * @param request the request, its message without a body
     * @param length the length in bytes, -1 if unknown until the body ends
     * @return null if the body is rejected; {@code upload} was then notified
     */
    default BodyWriter openRequestBody(IncomingRequest request, long length, Upload upload) {
        upload.onRejected(Rejection.TOO_LONG, 0);
        return null;
    }

    /**
     * Opens the body of a response that has begun.
     *
     * @param length the length in bytes, -1 if unknown until the body ends
     * @return null if the body is too large
     */
    default BodyWriter openResponseBody(long length, BodyWriter.Producer producer) {
        return null;
    }

    /** The size of the kernel's socket buffers for a large body, per direction; 0 for the default size. */
    default int socketBufferBytes() {
        return 0;
    }

    /** How long bodies in transit may take to complete during a graceful shutdown, ms. */
    default double shutdownGraceMs() {
        return 0;
    }

    /** Runs a callback as soon as no large body is in transit, those of requests that are not handled yet included. */
    default void whenIdle(Runnable callback) {
        callback.run();
    }
}
