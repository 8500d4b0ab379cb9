package peppergauge.snapshot;

import java.util.Map;
import java.util.function.Consumer;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/**
 * Records the address of each listed server, since the load balancer knows servers by id only.
 *
 * @param backend backend that all calls are passed to
 * @param addresses addresses of the listed servers by server id
 */
record AddressRecordingBackend(Backend backend, Map<String, String> addresses) implements Backend {

    @Override
    public void onServerListed(Server server) {
        addresses.put(server.id(), server.address());
        backend.onServerListed(server);
    }

    @Override
    public void onServerRemoved(Server server) {
        addresses.remove(server.id(), server.address());
        backend.onServerRemoved(server);
    }

    @Override
    public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
        return backend.send(server, message, deadlineMs, listener);
    }

    @Override
    public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
        return backend.probe(server, deadlineMs, onEnded);
    }
}
