package peppergauge.daemon.subsystem;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.SidecarExtension;
import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

public class CompositeExtensionTest {

    private final List<String> calls = new ArrayList<>();

    private SidecarExtension interceptor(String name) {
        return new SidecarExtension.RequestInterceptor() {
            @Override
            public RequestHandler wrapRequestHandler(RequestHandler next, Context context) {
                return recording(name, next);
            }

            @Override
            public void onStopping() {
                calls.add("stop " + name);
                throw new IllegalStateException("expected failure of the test");
            }
        };
    }

    private SidecarExtension dispatcherWrapper(String name) {
        return new SidecarExtension() {
            @Override
            public RequestHandler wrapRequestHandler(RequestDispatcher dispatcher, Context context) {
                return recording(name, new RequestHandler() {
                    @Override
                    public void handle(IncomingRequest request, ResponseListener listener) {
                        calls.add("dispatcher");
                    }

                    @Override
                    public void cancel(String id, ResponseListener listener) {}
                });
            }

            @Override
            public boolean watchesDiscovery() {
                return false;
            }
        };
    }

    private RequestHandler recording(String name, RequestHandler next) {
        return new RequestHandler() {
            @Override
            public void handle(IncomingRequest request, ResponseListener listener) {
                calls.add(name);
                next.handle(request, listener);
            }

            @Override
            public void cancel(String id, ResponseListener listener) {}
        };
    }

    @Test
    public void outermostHandlesFirstAndFailedStopDoesNotPreventOthers() {
        CompositeExtension composite =
                new CompositeExtension(List.of(interceptor("a"), dispatcherWrapper("s"), interceptor("b")));
        composite.wrapRequestHandler((RequestDispatcher) null, null).handle(null, null);
        composite.onStopping();
        assertEquals(calls, List.of("a", "b", "s", "dispatcher", "stop a", "stop b"));
        assertEquals(composite.watchesDiscovery(), false);
        assertThrows(
                IllegalStateException.class,
                () -> new CompositeExtension(List.of(dispatcherWrapper("s"), dispatcherWrapper("t")))
                        .wrapRequestHandler((RequestDispatcher) null, null));
    }
}
