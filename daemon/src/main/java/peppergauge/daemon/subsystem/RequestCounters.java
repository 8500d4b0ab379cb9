package peppergauge.daemon.subsystem;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.SidecarExtension;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** Counts requests by how they ended, for the {@code status} command. Thread-safe. */
public final class RequestCounters implements SidecarExtension.RequestInterceptor {

    private final AtomicLong received = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong duplicates = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();

    @Override
    public RequestHandler wrapRequestHandler(RequestHandler next, Context context) {
        Map<ResponseListener, CountingListener> openRequests = new java.util.concurrent.ConcurrentHashMap<>();
        return new RequestHandler() {
            @Override
            public void handle(IncomingRequest opening, ResponseListener frontend) {
                received.incrementAndGet();
                CountingListener counted = new CountingListener(frontend, () -> openRequests.remove(frontend));
                openRequests.put(frontend, counted);
                next.handle(opening, counted);
            }

            @Override
            public void cancel(String id, ResponseListener frontend) {
                CountingListener counted = openRequests.remove(frontend);
                if (counted != null) {
                    cancelled.incrementAndGet();
                }
                next.cancel(id, counted == null ? frontend : counted);
            }
        };
    }

    private final class CountingListener implements ResponseListener {

        private final ResponseListener client;
        private final Runnable onEnd;

        private CountingListener(ResponseListener client, Runnable onEnd) {
            this.client = client;
            this.onEnd = onEnd;
        }

        @Override
        public void onResponse(Message response) {
            count(served);
            client.onResponse(response);
        }

        @Override
        public void onRejected(double retryAfterMs) {
            count(rejected);
            client.onRejected(retryAfterMs);
        }

        @Override
        public void onFailed(boolean timedOut) {
            count(failed);
            client.onFailed(timedOut);
        }

        @Override
        public boolean isClientWaiting() {
            return client.isClientWaiting();
        }

        @Override
        public void onDuplicateId() {
            count(duplicates);
            client.onDuplicateId();
        }

        private void count(AtomicLong counter) {
            counter.incrementAndGet();
            onEnd.run();
        }
    }

    /** Returns the counts by the names that {@code status} prints. */
    public Map<String, Object> report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put(
                "open",
                received.get() - served.get() - rejected.get() - failed.get() - duplicates.get() - cancelled.get());
        report.put("served", served.get());
        report.put("denied", rejected.get());
        report.put("failed", failed.get());
        report.put("duplicate", duplicates.get());
        report.put("left", cancelled.get());
        return report;
    }
}
