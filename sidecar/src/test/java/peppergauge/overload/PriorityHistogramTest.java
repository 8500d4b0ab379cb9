package peppergauge.overload;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class PriorityHistogramTest {

    @Test
    public void recentRequestsDetermineLevel() {
        PriorityHistogram histogram = new PriorityHistogram(4);
        for (int i = 0; i < 110; i++) {
            histogram.decay();
            histogram.record(i < 100 ? 0 : 2);
        }
        assertEquals(histogram.levelsCovering(0.5), 3);
    }
}
