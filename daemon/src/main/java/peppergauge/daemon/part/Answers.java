package peppergauge.daemon.part;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.SidecarExtension;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** Counts sessions and their answers, for {@code status}; stands outermost. */
public final class Answers implements SidecarExtension.RequestInterceptor {

    private final AtomicLong opened = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong denied = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong duplicates = new AtomicLong();
    private final AtomicLong left = new AtomicLong();

    @Override
    public RequestHandler wrapRequestHandler(RequestHandler next, Context parts) {
        Map<ResponseListener, Counted> open = new java.util.concurrent.ConcurrentHashMap<>();
        return new RequestHandler() {
            @Override
            public void handle(IncomingRequest opening, ResponseListener frontend) {
                opened.incrementAndGet();
                Counted counted = new Counted(frontend, () -> open.remove(frontend));
                open.put(frontend, counted);
                next.handle(opening, counted);
            }

            @Override
            public void cancel(String id, ResponseListener frontend) {
                Counted counted = open.remove(frontend);
                if (counted != null) {
                    left.incrementAndGet();
                }
                next.cancel(id, counted == null ? frontend : counted);
            }
        };
    }

    private final class Counted implements ResponseListener {

        private final ResponseListener client;
        private final Runnable over;

        private Counted(ResponseListener client, Runnable over) {
            this.client = client;
            this.over = over;
        }

        @Override
        public void onResponse(Message answer) {
            end(served);
            client.onResponse(answer);
        }

        @Override
        public void onRejected(double retryAfterMs) {
            end(denied);
            client.onRejected(retryAfterMs);
        }

        @Override
        public void onFailed(boolean late) {
            end(failed);
            client.onFailed(late);
        }

        @Override
        public boolean isClientWaiting() {
            return client.isClientWaiting();
        }

        @Override
        public void onDuplicateId() {
            end(duplicates);
            client.onDuplicateId();
        }

        private void end(AtomicLong counter) {
            counter.incrementAndGet();
            over.run();
        }
    }

    public Map<String, Object> report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("open", opened.get() - served.get() - denied.get() - failed.get() - duplicates.get() - left.get());
        report.put("served", served.get());
        report.put("denied", denied.get());
        report.put("failed", failed.get());
        report.put("duplicate", duplicates.get());
        report.put("left", left.get());
        return report;
    }
}
