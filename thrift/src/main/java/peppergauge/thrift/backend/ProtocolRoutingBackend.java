package peppergauge.thrift.backend;

import java.util.function.Consumer;
import java.util.function.Predicate;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.log.Log;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.thrift.method.ThriftMessages;

/**
 * Passes attempts to the HTTP or the Thrift backend, by the protocol of the server. A request is sent only to servers
 * of its own protocol: an HTTP request cannot be converted to a Thrift call, and a server that cannot parse its input
 * might misinterpret it.
 */
public final class ProtocolRoutingBackend implements Backend {

    private final Backend http;
    private final Backend thrift;
    private final Predicate<Server> speaksThrift;

    public ProtocolRoutingBackend(Backend http, Backend thrift, Predicate<Server> speaksThrift) {
        this.http = http;
        this.thrift = thrift;
        this.speaksThrift = speaksThrift;
    }

    /** Sends nothing to a server of the other protocol; the outcome NEVER_SENT does not count against that server. */
    @Override
    public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
        boolean isThriftCall = ThriftMessages.isThriftCall(message);
        if (speaksThrift.test(server) != isThriftCall) {
            Log.event("server_protocol_mismatch", "server", server.id(), "request", isThriftCall ? "thrift" : "http");
            listener.onEnded(new Result(Outcome.NEVER_SENT));
            return UnsentExchange.INSTANCE;
        }
        return backendOf(server).send(server, message, deadlineMs, listener);
    }

    @Override
    public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
        return backendOf(server).probe(server, deadlineMs, onEnded);
    }

    @Override
    public void onServerRemoved(Server server) {
        backendOf(server).onServerRemoved(server);
    }

    private Backend backendOf(Server server) {
        return speaksThrift.test(server) ? thrift : http;
    }
}
