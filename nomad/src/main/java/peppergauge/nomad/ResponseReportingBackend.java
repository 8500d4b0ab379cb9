package peppergauge.nomad;

import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/** Backend that reports the address of each server that responds successfully, and delegates all calls. */
record ResponseReportingBackend(Backend delegate, Consumer<String> onResponse) implements Backend {

    @Override
    public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
        return delegate.send(server, message, deadlineMs, listener.withEndListener(result -> {
            if (result.outcome() == Outcome.SUCCESS) {
                onResponse.accept(server.address());
            }
            listener.onEnded(result);
        }));
    }

    @Override
    public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
        return delegate.probe(server, deadlineMs, onEnded);
    }

    @Override
    public void onServerRemoved(Server server) {
        delegate.onServerRemoved(server);
    }
}
