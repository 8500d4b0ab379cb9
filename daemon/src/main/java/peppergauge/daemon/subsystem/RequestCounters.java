package peppergauge.daemon.subsystem;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.SidecarExtension;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** Counts requests by their outcome for the {@code status} command. Thread-safe. */
public final class RequestCounters implements SidecarExtension.RequestInterceptor {

    private final AtomicLong received = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong duplicates = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();

    @Override
    public RequestHandler wrapRequestHandler(RequestHandler next, Context context) {
        Map<ResponseListener, CountingListener> openRequests = new ConcurrentHashMap<>();
        return new RequestHandler() {
            @Override
            public void handle(IncomingRequest request, ResponseListener listener) {
                received.incrementAndGet();
                CountingListener counting = new CountingListener(listener, () -> openRequests.remove(listener));
                openRequests.put(listener, counting);
                next.handle(request, counting);
            }

            @Override
            public void cancel(String id, ResponseListener listener) {
                CountingListener counting = openRequests.remove(listener);
                if (counting != null) {
                    cancelled.incrementAndGet();
                }
                next.cancel(id, counting == null ? listener : counting);
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

    /** Returns the counts under the names that {@code status} reports. */
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
