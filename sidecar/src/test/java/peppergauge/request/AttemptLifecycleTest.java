package peppergauge.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;

/**
 * The streamed body of a request is released while a second attempt waits for its connection, which then fails: whether
 * the client may retry depends on whether the first attempt may have been executed.
 */
public class AttemptLifecycleTest {

    private final ManualEventLoop loop = new ManualEventLoop(1_000);

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, Outcome.BROKEN, "failed"},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.CELL, Outcome.TIMED_OUT, "failed"},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, Outcome.UNREACHABLE, "rejected"},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL, Outcome.BROKEN, "rejected"},
            {Idempotency.IDEMPOTENT, KeyScope.ALL, Outcome.BROKEN, "rejected"},
            {Idempotency.NON_IDEMPOTENT, KeyScope.ALL, Outcome.UNREACHABLE, "rejected"},
        };
    }

    @Test(dataProvider = "ends")
    public void rejectsRequestOnlyIfRetryIsSafe(
            Idempotency idempotency, KeyScope keyScope, Outcome first, String expected) {
        List<Consumer<Backend.Result>> attempts = new ArrayList<>();
        List<String> responses = new ArrayList<>();
        ReleasedBody body = new ReleasedBody();
        RequestDispatcher dispatcher =
                dispatcher(new RequestClass(100, 300, 1, 0, idempotency, keyScope, 500), attempts);
        dispatcher.onEndpointUpdate(new EndpointUpdate(1, true, List.of(endpoint("s0"), endpoint("s1"))));
        dispatcher.handle(
                new IncomingRequest(
                        "r", 0, -1, 300, false, loop.nowMs(), new Message("POST", "/r", List.of(), new byte[0], body)),
                new RecordingResponseListener(responses));
        loop.runTasks();
        attempts.get(0).accept(new Backend.Result(first));
        loop.runTasks();
        body.isReadable = false;
        attempts.get(1).accept(new Backend.Result(Outcome.UNREACHABLE));
        loop.runTasks();
        assertEquals(responses, List.of(expected));
    }

    /** Creates a dispatcher whose load balancer sends to one server and then to the other. */
    private RequestDispatcher dispatcher(RequestClass requestClass, List<Consumer<Backend.Result>> attempts) {
        LoadBalancer loadBalancer = (now, event, actions) -> {
            if (event instanceof RequestArrived arrived) {
                actions.accept(new SendAttempt(arrived.id(), "s0", 100));
            } else if (event instanceof AttemptEnded ended && ended.attempt() == 0) {
                actions.accept(new SendAttempt(ended.id(), "s1", 100));
            }
        };
        return new RequestDispatcher(
                loadBalancer,
                new Backend() {
                    @Override
                    public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
                        attempts.add(listener::onEnded);
                        return new Written();
                    }

                    @Override
                    public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
                        throw new IllegalStateException("unexpected health check");
                    }

                    @Override
                    public void onServerRemoved(Server server) {
                        // There is nothing to release.
                    }
                },
                loop,
                loop,
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 0.1, true, 1_500, 20, 1)),
                List.of(requestClass),
                50);
    }

    private static EndpointUpdate.EndpointAddress endpoint(String server) {
        return new EndpointUpdate.EndpointAddress(new Endpoint(server, 0, 0, EndpointState.READY, 0), server + ":1");
    }

    private static final class Written implements Backend.Exchange {

        @Override
        public boolean cancelIfUnsent() {
            return false;
        }

        @Override
        public boolean abort() {
            return false;
        }
    }

    private static final class ReleasedBody implements BodyStream {

        private boolean isReadable = true;

        @Override
        public long length() {
            return 100_000;
        }

        @Override
        public boolean isReadableFromStart() {
            return isReadable;
        }

        @Override
        public Reader openReader(Runnable onAvailable) {
            throw new IllegalStateException("unexpected reader");
        }

        @Override
        public void addListener(Listener listener) {
            // No event is sent: the body is only released.
        }

        @Override
        public void release() {
            isReadable = false;
        }
    }
}
