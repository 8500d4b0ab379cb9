package peppergauge.request;

import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;

/** Sends attempts and health checks to backend servers. Methods are called by the event-loop thread. */
public interface Backend {

    /** A backend server and its address. Another server may have had the same address before. */
    record Server(String id, String address) {}

    /** An attempt or a health check in flight. */
    interface Exchange {

        /**
         * Cancels the exchange if nothing of it was written.
         *
         * @return whether it was cancelled
         */
        boolean cancelIfUnsent();

        /**
         * Stops waiting for the response. The connection is closed if anything was written.
         *
         * @return whether nothing was written
         */
        boolean abort();

        /** Returns the outcome if the attempt's time is over before anything is written. */
        default Outcome outcomeIfUnsent() {
            return Outcome.UNREACHABLE;
        }
    }

    /**
     * How an attempt or a health check ended.
     *
     * @param response the response if the outcome is a success, else null
     * @param loadReport the server's load report, null if the response had none
     * @param latencyMs from the first byte written, or with a streamed request body the last one, to the arrival of the
     *     response, as far as known, without delays in this program; NaN if nothing was written or no response came
     * @param requestTruncated whether the server received part of the request and certainly not all of it
     */
    record Result(Outcome outcome, Message response, double[] loadReport, double latencyMs, boolean requestTruncated) {

        public Result(Outcome outcome, Message response, double[] loadReport, double latencyMs) {
            this(outcome, response, loadReport, latencyMs, false);
        }

        /** A result without a response. */
        public Result(Outcome outcome) {
            this(outcome, null, null, Double.NaN);
        }
    }

    /** Is notified of the end of an attempt. */
    @FunctionalInterface
    interface AttemptListener {

        /** The attempt has ended. Called once, from any thread. */
        void onEnded(Result result);

        /**
         * Whether the client still waits for the response, as far as is known. To be called by the event-loop thread
         * right before the first byte is written: the client may have disconnected while the connection was opened.
         */
        default boolean isClientWaiting() {
            return true;
        }

        /** A listener of the same client that passes the result to {@code endListener} instead. */
        default AttemptListener withEndListener(Consumer<Result> endListener) {
            AttemptListener original = this;
            return new AttemptListener() {
                @Override
                public void onEnded(Result result) {
                    endListener.accept(result);
                }

                @Override
                public boolean isClientWaiting() {
                    return original.isClientWaiting();
                }
            };
        }
    }

    /**
     * Sends an attempt. It ends when its response is complete, or when a response with a streamed body begins; the end
     * of that body is notified by its {@link BodyStream}.
     *
     * @param deadlineMs when the attempt times out, by the {@link Clock}
     */
    Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener);

    /**
     * Sends a health check, which asks a server for its load.
     *
     * @param deadlineMs when the health check times out, by the {@link Clock}
     * @param onEnded called once, from any thread
     */
    Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded);

    /** The endpoint list contains this server; called at each update that mentions it. */
    default void onServerListed(Server server) {}

    /** The server was removed; releases all resources held for it. May be called several times. */
    void onServerRemoved(Server server);
}
