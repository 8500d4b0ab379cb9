package peppergauge.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class ArrivalQueueTest {

    @Test
    public void pollsOpenRequestsFirstThenNewOnesInRequestedOrder() {
        for (boolean newestFirst : new boolean[] {false, true}) {
            ArrivalQueue<String> queue = new ArrivalQueue<>();
            assertTrue(queue.addNew("1", "request 1"));
            queue.addInProgress("end 1");
            assertTrue(queue.addNew("2", "request 2") && queue.addNew("3", "request 3"));
            assertFalse(queue.addNew("1", "a duplicate"));
            queue.addInProgress("end 2");
            assertEquals(queue.remove("2"), "request 2");
            assertEquals(queue.size(), 4);
            for (String task : newestFirst
                    ? List.of("end 1", "end 2", "request 3", "request 1")
                    : List.of("end 1", "end 2", "request 1", "request 3")) {
                assertEquals(queue.poll(newestFirst), task);
            }
            assertNull(queue.poll(newestFirst));
        }
    }
}
