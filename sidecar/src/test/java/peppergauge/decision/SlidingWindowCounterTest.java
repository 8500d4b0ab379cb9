package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class SlidingWindowCounterTest {

    private static SlidingWindowCounter counter() {
        SlidingWindowCounter counter = new SlidingWindowCounter();
        for (double atMs : new double[] {1, 2, 2, 3}) {
            counter.add(atMs);
        }
        return counter;
    }

    @Test
    public void countsEventAtStartOfWindowOnlyIfInclusive() {
        assertEquals(counter().countSince(2, true), 3);
        assertEquals(counter().countSince(2, false), 1);
    }

    @Test
    public void doesNotCountRemovedEvent() {
        SlidingWindowCounter counter = counter();
        counter.remove(2);
        counter.remove(99);
        assertEquals(counter.countSince(0, true), 3);
    }
}
