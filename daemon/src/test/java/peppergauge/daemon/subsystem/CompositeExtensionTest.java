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

    private final List<String> told = new ArrayList<>();

    private SidecarExtension before(String name) {
        return new SidecarExtension.RequestInterceptor() {
            @Override
            public RequestHandler wrapRequestHandler(RequestHandler next, Context parts) {
                return noting(name, next);
            }

            @Override
            public void onStopping() {
                told.add("stop " + name);
                throw new IllegalStateException("on purpose");
            }
        };
    }

    private SidecarExtension sessionsOnly(String name) {
        return new SidecarExtension() {
            @Override
            public RequestHandler wrapRequestHandler(RequestDispatcher sessions, Context parts) {
                return noting(name, new RequestHandler() {
                    @Override
                    public void handle(IncomingRequest opening, ResponseListener frontend) {
                        told.add("sessions");
                    }

                    @Override
                    public void cancel(String id, ResponseListener frontend) {}
                });
            }

            @Override
            public boolean watchesDiscovery() {
                return false;
            }
        };
    }

    private RequestHandler noting(String name, RequestHandler next) {
        return new RequestHandler() {
            @Override
            public void handle(IncomingRequest opening, ResponseListener frontend) {
                told.add(name);
                next.handle(opening, frontend);
            }

            @Override
            public void cancel(String id, ResponseListener frontend) {}
        };
    }

    @Test
    public void aSessionGoesThroughTheFirstFirstAndOneThatFailsKeepsNoOtherFromEnding() {
        CompositeExtension all = new CompositeExtension(List.of(before("a"), sessionsOnly("s"), before("b")));
        all.wrapRequestHandler((RequestDispatcher) null, null).handle(null, null);
        all.onStopping();
        assertEquals(told, List.of("a", "b", "s", "sessions", "stop a", "stop b"));
        assertEquals(all.watchesDiscovery(), false);
        assertThrows(
                IllegalStateException.class,
                () -> new CompositeExtension(List.of(sessionsOnly("s"), sessionsOnly("t")))
                        .wrapRequestHandler((RequestDispatcher) null, null));
    }
}
