package peppergauge.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.RejectionCause;
import peppergauge.log.Log;

public class RequestLifecycleTest {

    private ManualEventLoop loop;
    private List<String> responses;
    private List<String> events;

    @BeforeMethod
    public void start() {
        loop = new ManualEventLoop(1_000);
        responses = new ArrayList<>();
        events = new ArrayList<>();
    }

    private RequestLifecycle requests(boolean doesLoadBalancerThrow) {
        LoadBalancerDriver driver = new LoadBalancerDriver(
                (now, event, actions) -> {
                    events.add(event.getClass().getSimpleName());
                    if (doesLoadBalancerThrow) {
                        throw new IllegalStateException("expected by the test");
                    }
                },
                loop,
                action -> {});
        return new RequestLifecycle(
                new DispatchContext(driver, null, null, null, List.of(), loop, loop, () -> events.add("idle check")));
    }

    private IncomingRequest incoming(String id) {
        return new IncomingRequest(
                id, 0, -1, 300, false, loop.nowMs(), new Message("GET", "/r", List.of(), new byte[0], null));
    }

    @Test
    public void failsAtDeadlineWithoutActionOfLoadBalancer() {
        RequestLifecycle requests = requests(false);
        requests.open(incoming("a"), new RecordingResponseListener(responses));
        assertTrue(requests.isOpen("a") && requests.hasOpen());
        loop.advanceToNextTask(1_300).run();
        assertEquals(loop.nowMs(), 1_300.0);
        assertEquals(responses, List.of("failed"));
        assertEquals(events, List.of("RequestArrived", "ClientDisconnected", "idle check"));
        assertTrue(!requests.isOpen("a") && !requests.hasOpen() && requests.isKnown("a"));
    }

    @Test
    public void deliversSingleResponse() {
        RequestLifecycle requests = requests(false);
        RecordingResponseListener listener = new RecordingResponseListener(responses);
        requests.open(incoming("b"), listener);
        OpenRequest request = requests.find("b");
        requests.reject(new RejectRequest("b", 0, RejectionCause.UNSPECIFIED));
        requests.reject(new RejectRequest("b", 0, RejectionCause.UNSPECIFIED));
        requests.onClientDisconnected(request, listener);
        assertEquals(responses, List.of("rejected"));
        assertEquals(request.state, RequestLifecycle.State.COMPLETED);
    }

    /** A 503 with most of the time left could not be explained from the log. */
    @Test
    public void logsMechanismAndFiguresOfRejection() {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink previous = Log.setSink((event, fields, dropped) -> lines.add(event + " " + fields));
        try {
            RequestLifecycle requests = requests(false);
            requests.open(incoming("d"), new RecordingResponseListener(responses));
            requests.reject(new RejectRequest("d", 0, new RejectionCause(RejectionCause.Reason.QUEUE_TIMEOUT, 120)));
        } finally {
            Log.setSink(previous);
        }
        String expected = "request_rejected reason=queue_timeout request=d waited_ms=0 remaining_ms=300"
                + " min_service_ms=120 attempts=0";
        assertTrue(lines.contains(expected), "expected the line " + expected + " but was " + lines);
    }

    @Test
    public void failsImmediatelyIfLoadBalancerThrows() {
        RequestLifecycle requests = requests(true);
        requests.open(incoming("c"), new RecordingResponseListener(responses));
        assertEquals(responses, List.of("failed"));
        assertFalse(requests.hasOpen());
    }
}
