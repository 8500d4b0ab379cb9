package peppergauge.request;

import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;

/** Carries attempts and probes to backend servers. */
public interface Backend {

    /** A backend server and where this sidecar reaches it; another server may have had the address before. */
    record Server(String id, String address) {}

    /** An attempt that is out. */
    interface Exchange {

        /** Takes the attempt back if nothing of it was written yet; whether that was so. */
        boolean cancelIfUnsent();

        /** Stops waiting, and closes the connection if anything was written; whether nothing was. */
        boolean abort();
    }

    /**
     * How an attempt or a probe ended.
     *
     * @param answer only for a success, else null
     * @param load null if none came along
     * @param tookMs from the last byte written to the answer's arrival as far as that is known, ms, without the time
     *     that either waited here; NaN where nothing was written or no answer came
     * @param cutShort whether the request was begun and its last byte surely not written: nobody has it whole
     */
    record Result(Outcome outcome, Message response, double[] loadReport, double latencyMs, boolean requestTruncated) {

        public Result(Outcome outcome, Message answer, double[] load, double tookMs) {
            this(outcome, answer, load, tookMs, false);
        }

        /** Without an answer. */
        public Result(Outcome outcome) {
            this(outcome, null, null, Double.NaN);
        }
    }

    /** Whose attempt it is. */
    @FunctionalInterface
    interface AttemptListener {

        /** Called once, from any thread. */
        void onEnded(Result result);

        /**
         * Whether anybody still waits for the answer, as far as a look can tell. To be asked by the owner thread right
         * before the first byte: what came in while a connection came up, or in a long round, may stand unread.
         */
        default boolean isClientWaiting() {
            return true;
        }

        /** The same, whose end is told to another. */
        default AttemptListener withEndListener(Consumer<Result> other) {
            AttemptListener own = this;
            return new AttemptListener() {
                @Override
                public void onEnded(Result result) {
                    other.accept(result);
                }

                @Override
                public boolean isClientWaiting() {
                    return own.isClientWaiting();
                }
            };
        }
    }

    /**
     * Sends an attempt that waits until {@code untilMs}. An answer with a flow ends it when the answer begins: what
     * becomes of the rest is the flow's to tell.
     */
    Exchange send(Server server, Message message, double untilMs, AttemptListener sender);

    /** Asks a backend server for its load; {@code ended} is called once, from any thread. */
    Exchange probe(Server server, double untilMs, Consumer<Result> ended);

    /** The server table names this server, at its first mention and at each later one; called by the owner thread. */
    default void onServerListed(Server server) {}

    /** The server is gone: nothing that was kept for it is of use. */
    void onServerRemoved(Server server);
}
