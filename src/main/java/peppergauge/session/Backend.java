package peppergauge.session;
import java.util.function.Consumer;
import peppergauge.decision.Balancer.Outcome;

/** Carries attempts and probes to backend servers. */
public interface Backend {

    /** A backend server and where this sidecar reaches it; another server may have had the address before. */
    record Server(String id, String address) { }

    /** An attempt that is out. */
    interface Exchange {

        /** Takes the attempt back if nothing of it was written yet; whether that was so. */
        boolean withdraw();

        /** Stops waiting, and closes the connection if anything was written; whether nothing was. */
        boolean abandon();
    }

    /** How an attempt or a probe ended; {@code answer} only for a success, {@code load} may be null. */
    record Result(Outcome outcome, Message answer, double[] load) { }

    /** Sends an attempt that waits until {@code untilMs}; {@code ended} is called once, from any thread. */
    Exchange send(Server server, Message message, double untilMs, Consumer<Result> ended);

    /** Asks a backend server for its load; {@code ended} is called once, from any thread. */
    Exchange probe(Server server, double untilMs, Consumer<Result> ended);

    /** The server is gone: nothing that was kept for it is of use. */
    void forget(Server server);
}
