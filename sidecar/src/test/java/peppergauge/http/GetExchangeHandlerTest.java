package peppergauge.http;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.testng.annotations.Test;

public class GetExchangeHandlerTest {

    /** An exchange that ignores its response. */
    private static final class Get extends GetExchangeHandler {

        @Override
        protected HttpRequest createRequest() {
            return new BasicHttpRequest("GET", "/path");
        }

        @Override
        public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context) {}

        @Override
        public void consume(ByteBuffer part) {}

        @Override
        public void streamEnd(List<? extends Header> trailers) {}

        @Override
        public void failed(Exception cause) {}

        @Override
        public void cancel() {}

        @Override
        public void releaseResources() {}
    }

    @Test
    public void sendsTheRequestWithoutBodyAndDoesNotLimitTheResponse() throws Exception {
        Get get = new Get();
        List<String> sent = new ArrayList<>();
        get.produceRequest(
                (request, entity, context) -> sent.add(request.getMethod() + " " + request.getPath() + " " + entity),
                HttpCoreContext.create());
        List<Integer> capacity = new ArrayList<>();
        get.updateCapacity(capacity::add);
        assertEquals(sent, List.of("GET /path null"));
        assertEquals(capacity, List.of(Integer.MAX_VALUE));
        assertEquals(get.available(), 0);
    }
}
