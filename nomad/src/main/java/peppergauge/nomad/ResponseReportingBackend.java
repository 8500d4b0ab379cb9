package peppergauge.nomad;

import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/** Reports the address of each server that has responded successfully; else passes everything through. */
record ResponseReportingBackend(Backend behind, Consumer<String> onResponse) implements Backend {

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        return behind.send(server, message, untilMs, sender.withEndListener(result -> {
            if (result.outcome() == Outcome.SUCCESS) {
                onResponse.accept(server.address());
            }
            sender.onEnded(result);
        }));
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        return behind.probe(server, untilMs, ended);
    }

    @Override
    public void onServerRemoved(Server server) {
        behind.onServerRemoved(server);
    }
}
