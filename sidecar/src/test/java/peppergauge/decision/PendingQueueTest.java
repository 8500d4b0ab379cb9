package peppergauge.decision;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;

public class PendingQueueTest {

    private static Request request(String id, boolean isOverQuota) {
        Request request = new Request(
                id, Fixtures.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL), new RequestClassStats(), 0, 1, 0);
        request.isOverQuota = isOverQuota;
        return request;
    }

    @Test
    public void nextIsNewestRequestWithinQuota() {
        PendingQueue queue = new PendingQueue();
        assertNull(queue.next());
        Request first = request("a", false);
        Request second = request("b", false);
        Request overQuota = request("c", true);
        for (Request request : new Request[] {first, second, overQuota}) {
            assertTrue(queue.add(request));
        }
        assertSame(queue.next(), second);
        queue.remove(second);
        queue.remove(first);
        assertSame(queue.next(), overQuota);
    }

    @Test
    public void requestIsAddedOnce() {
        PendingQueue queue = new PendingQueue();
        Request request = request("a", false);
        queue.add(request);
        assertFalse(queue.add(request));
        assertTrue(queue.contains(request));
        queue.remove(request);
        assertFalse(queue.contains(request));
        assertTrue(queue.isEmpty());
    }
}
