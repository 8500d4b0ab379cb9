package peppergauge.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class PipelinedRequestsTest {

    @Test
    public void countsRequestsUntilTheirResponsesAreWritten() {
        PipelinedRequests pipeline = new PipelinedRequests();
        pipeline.onRequestStarted(false);
        pipeline.onRequestStarted(true);
        assertEquals(pipeline.started(), 2);
        assertEquals(pipeline.unanswered(), 2);
        assertTrue(pipeline.isLastRequestStarted());
        assertFalse(pipeline.hasUnwrittenResponses());
        pipeline.onResponseStarted(false);
        assertTrue(pipeline.hasUnwrittenResponses());
        pipeline.onResponseWritten();
        assertFalse(pipeline.hasUnwrittenResponses());
        assertEquals(pipeline.unanswered(), 1);
        assertEquals(pipeline.started(), 2);
    }

    @Test
    public void remembersThatTheLastResponseHasStarted() {
        PipelinedRequests pipeline = new PipelinedRequests();
        pipeline.onResponseStarted(false);
        assertFalse(pipeline.isLastResponseStarted());
        pipeline.onResponseStarted(true);
        pipeline.onResponseStarted(false);
        assertTrue(pipeline.isLastResponseStarted());
    }
}
