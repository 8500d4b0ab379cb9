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
 * A request's long body is let go while a second attempt waits for its connection, which is then refused: what its
 * client is told depends on whether the first attempt may have run.
 */
public class StreamedBodyRejectionTest {

    private final ManualEventLoop loop = new ManualEventLoop(1_000);

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, Outcome.BROKEN, "failed"},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.CELL, Outcome.TIMED_OUT, "failed"},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, Outcome.UNREACHABLE, "denied"},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL, Outcome.BROKEN, "denied"},
            {Idempotency.IDEMPOTENT, KeyScope.ALL, Outcome.BROKEN, "denied"},
            {Idempotency.NON_IDEMPOTENT, KeyScope.ALL, Outcome.UNREACHABLE, "denied"},
        };
    }

    @Test(dataProvider = "ends")
    public void isDeniedOnlyWhereTryingAgainIsSafe(Idempotency effect, KeyScope group, Outcome first, String told) {
        List<Consumer<Backend.Result>> attempts = new ArrayList<>();
        List<String> answers = new ArrayList<>();
        LostBody body = new LostBody();
        RequestDispatcher sessions = sessions(new RequestClass(100, 300, 1, 0, effect, group, 500), attempts);
        sessions.onEndpointUpdate(new EndpointUpdate(1, true, List.of(row("s0"), row("s1"))));
        sessions.handle(
                new IncomingRequest(
                        "r", 0, -1, 300, false, loop.nowMs(), new Message("POST", "/r", List.of(), new byte[0], body)),
                new RecordingResponseListener(answers));
        loop.runTasks();
        attempts.get(0).accept(new Backend.Result(first));
        loop.runTasks();
        body.kept = false;
        attempts.get(1).accept(new Backend.Result(Outcome.UNREACHABLE));
        loop.runTasks();
        assertEquals(answers, List.of(told));
    }

    /** Over a module that sends to one server and then to the other. */
    private RequestDispatcher sessions(RequestClass kind, List<Consumer<Backend.Result>> attempts) {
        LoadBalancer module = (now, event, actions) -> {
            if (event instanceof RequestArrived arrived) {
                actions.accept(new SendAttempt(arrived.id(), "s0", 100));
            } else if (event instanceof AttemptEnded ended && ended.attempt() == 0) {
                actions.accept(new SendAttempt(ended.id(), "s1", 100));
            }
        };
        return new RequestDispatcher(
                module,
                new Backend() {
                    @Override
                    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
                        attempts.add(sender::onEnded);
                        return new Written();
                    }

                    @Override
                    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
                        throw new IllegalStateException("no probe is asked for");
                    }

                    @Override
                    public void onServerRemoved(Server server) {
                        // Nothing is kept here.
                    }
                },
                loop,
                loop,
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 0.1, true, 1_500, 20, 1)),
                List.of(kind),
                50);
    }

    private static EndpointUpdate.EndpointAddress row(String server) {
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

    private static final class LostBody implements BodyStream {

        private boolean kept = true;

        @Override
        public long length() {
            return 100_000;
        }

        @Override
        public boolean isReadableFromStart() {
            return kept;
        }

        @Override
        public Reader openReader(Runnable more) {
            throw new IllegalStateException("nobody reads here");
        }

        @Override
        public void addListener(Listener watcher) {
            // Nothing happens to it but its loss.
        }

        @Override
        public void release() {
            kept = false;
        }
    }
}
