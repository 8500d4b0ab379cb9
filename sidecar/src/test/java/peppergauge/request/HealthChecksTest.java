package peppergauge.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.ProbeEnded;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;

public class HealthChecksTest {

    private final ManualEventLoop loop = new ManualEventLoop(1_000);
    private final List<String> ended = new ArrayList<>();
    private final List<Consumer<Backend.Result>> sent = new ArrayList<>();

    private final class CheckedServers implements Backend, Backend.Exchange {

        @Override
        public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
            throw new IllegalStateException("unexpected attempt");
        }

        @Override
        public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
            assertEquals(deadlineMs, 1_050.0);
            sent.add(onEnded);
            return this;
        }

        @Override
        public void onServerRemoved(Server server) {
            // There is nothing to release.
        }

        @Override
        public boolean cancelIfUnsent() {
            return false;
        }

        @Override
        public boolean abort() {
            ended.add("aborted");
            return false;
        }
    }

    @Test
    public void endsOnceByResultTimeoutOrUnknownServer() {
        Backend backend = new CheckedServers();
        EndpointList endpoints = new EndpointList(backend, () -> 0);
        endpoints.apply(new EndpointUpdate(
                1,
                true,
                List.of(new EndpointUpdate.EndpointAddress(new Endpoint("s", 0, 0, EndpointState.READY, 0), "h:1"))));
        LoadBalancerDriver driver = new LoadBalancerDriver(
                (now, event, actions) ->
                        ended.add(((ProbeEnded) event).server() + " " + ((ProbeEnded) event).outcome()),
                loop,
                action -> {});
        OverloadController<Object, PendingRequest> overload =
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 0.1, true, 1_500, 20, 1));
        HealthChecks checks = new HealthChecks(
                new DispatchContext(driver, backend, endpoints, overload, List.of(), loop, loop, null), 50);
        checks.start("unknown");
        checks.start("s");
        checks.start("s");
        sent.get(0).accept(new Backend.Result(Outcome.SUCCESS));
        loop.runTasks();
        for (Runnable due = loop.advanceToNextTask(1_100); due != null; due = loop.advanceToNextTask(1_100)) {
            due.run();
        }
        sent.get(1).accept(new Backend.Result(Outcome.SUCCESS));
        loop.runTasks();
        assertEquals(
                ended,
                List.of("unknown " + Outcome.NEVER_SENT, "s " + Outcome.SUCCESS, "aborted", "s " + Outcome.TIMED_OUT));
    }
}
