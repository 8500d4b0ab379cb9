package peppergauge.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;

/**
 * An exception before a pending request is opened must not leave its client without a response: the request has no
 * deadline yet.
 */
public class RequestAdmissionTest {

    private static final int UNKNOWN_CLASS = 7;

    private final ManualEventLoop loop = new ManualEventLoop(1_000);

    private static final class UnusedBackend implements Backend {

        @Override
        public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
            throw new IllegalStateException("unexpected attempt");
        }

        @Override
        public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
            throw new IllegalStateException("unexpected health check");
        }

        @Override
        public void onServerRemoved(Server server) {
            // There is nothing to release.
        }
    }

    @Test
    public void rejectsRequestAfterExceptionWithoutAffectingNext() {
        RequestDispatcher dispatcher = new RequestDispatcher(
                (now, event, actions) -> {},
                new UnusedBackend(),
                loop,
                loop,
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 0.1, true, 1_500, 20, 1)),
                List.of(new RequestClass(100, 300, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 500)),
                50);
        List<String> responses = new ArrayList<>();
        List<String> nextResponses = new ArrayList<>();
        dispatcher.handle(request("a", UNKNOWN_CLASS), new RecordingResponseListener(responses));
        dispatcher.handle(request("b", 0), new RecordingResponseListener(nextResponses));
        loop.runTasks();
        for (Runnable due = loop.advanceToNextTask(2_000); due != null; due = loop.advanceToNextTask(2_000)) {
            due.run();
            loop.runTasks();
        }
        assertEquals(responses, List.of("rejected"));
        assertEquals(nextResponses, List.of("failed"));
    }

    private IncomingRequest request(String id, int requestClass) {
        return new IncomingRequest(
                id, requestClass, -1, 300, false, loop.nowMs(), new Message("GET", "/r", List.of(), new byte[0], null));
    }
}
