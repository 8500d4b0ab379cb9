package peppergauge.lab.play;

import peppergauge.lab.standin.Exchange;

/** One try of a client, which is one session at a sidecar; found by its id. */
final class Try {

    final Wish wish;
    final double sentMs;
    final boolean impatient;
    /** Sends of it to backend servers. */
    int attempts;
    /** The last of them. */
    Out out;

    /** An attempt as a backend server has it. */
    static final class Out {

        private final Exchange connection;
        private boolean answered;

        Out(Exchange connection) {
            this.connection = connection;
        }

        /** Its answer has been written. */
        void answered() {
            answered = true;
        }

        /** Whether the sidecar still waits for it; of a machine that is gone nobody can tell. */
        boolean waitedFor() {
            return !answered && connection.isOpen() && !connection.isMute();
        }
    }

    Try(Wish wish, double sentMs, boolean impatient) {
        this.wish = wish;
        this.sentMs = sentMs;
        this.impatient = impatient;
    }
}
