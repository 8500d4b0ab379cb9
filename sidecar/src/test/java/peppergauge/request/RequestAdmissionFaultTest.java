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
 * A bug on the way of a request to its open session. What happened: the loop logged it ("bug: ...
 * IndexOutOfBoundsException") and went on, no deadline was set yet, and the client waited in vain.
 */
public class RequestAdmissionFaultTest {

    private static final int NO_SUCH_CLASS = 7;

    private final ManualEventLoop loop = new ManualEventLoop(1_000);

    private static final class Unused implements Backend {

        @Override
        public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
            throw new IllegalStateException("nothing is sent");
        }

        @Override
        public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
            throw new IllegalStateException("no probe is asked for");
        }

        @Override
        public void onServerRemoved(Server server) {
            // Nothing is kept here.
        }
    }

    @Test
    public void isAnsweredAndCostsTheNextOnesNothing() {
        RequestDispatcher sessions = new RequestDispatcher(
                (now, event, actions) -> {},
                new Unused(),
                loop,
                loop,
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 0.1, true, 1_500, 20, 1)),
                List.of(new RequestClass(100, 300, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 500)),
                50);
        List<String> answers = new ArrayList<>();
        List<String> nextAnswers = new ArrayList<>();
        sessions.handle(opening("a", NO_SUCH_CLASS), new RecordingResponseListener(answers));
        sessions.handle(opening("b", 0), new RecordingResponseListener(nextAnswers));
        loop.runTasks();
        for (Runnable due = loop.advanceToNextTask(2_000); due != null; due = loop.advanceToNextTask(2_000)) {
            due.run();
            loop.runTasks();
        }
        assertEquals(answers, List.of("denied"));
        assertEquals(nextAnswers, List.of("failed"));
    }

    private IncomingRequest opening(String id, int requestClass) {
        return new IncomingRequest(
                id, requestClass, -1, 300, false, loop.nowMs(), new Message("GET", "/r", List.of(), new byte[0], null));
    }
}
