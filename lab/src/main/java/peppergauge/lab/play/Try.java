package peppergauge.lab.play;

import peppergauge.lab.standin.Exchange;

/** One try of a client, which is one session at a sidecar; found by its id. */
final class Try {

    final Wish wish;
    final double sentMs;
    final boolean impatient;
    /** Sends of it to backend servers. */
    int attempts;
    /** Where the last of them came in; open as long as the sidecar waits for it. */
    Exchange out;
    boolean over;

    Try(Wish wish, double sentMs, boolean impatient) {
        this.wish = wish;
        this.sentMs = sentMs;
        this.impatient = impatient;
    }
}
