package peppergauge.thrift.backend;

import java.util.function.Consumer;
import java.util.function.Predicate;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.log.Log;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.thrift.method.Carried;

/**
 * Servers of which some speak Thrift. A session goes only to a server that speaks its own protocol: there is no way to
 * put an HTTP request into a Thrift call, and what is sent where it cannot be read might do harm.
 */
public final class MixedBackend implements Backend {

    private final Backend http;
    private final Backend thrift;
    private final Predicate<Server> speaksThrift;

    public MixedBackend(Backend http, Backend thrift, Predicate<Server> speaksThrift) {
        this.http = http;
        this.thrift = thrift;
        this.speaksThrift = speaksThrift;
    }

    /** To a server of the other protocol nothing is sent, which is not held against it. */
    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        if (speaksThrift.test(server) != Carried.isCall(message)) {
            Log.line("protocol", "server " + server.id() + " does not speak what a session asks");
            sender.onEnded(new Result(Outcome.NEVER_SENT));
            return Nothing.OUT;
        }
        return of(server).send(server, message, untilMs, sender);
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        return of(server).probe(server, untilMs, ended);
    }

    @Override
    public void onServerRemoved(Server server) {
        of(server).onServerRemoved(server);
    }

    private Backend of(Server server) {
        return speaksThrift.test(server) ? thrift : http;
    }
}
