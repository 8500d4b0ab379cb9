package peppergauge.fleet.client;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.request.Clock;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** Counts each request when it arrives and when it ends. Its state belongs to the event loop's thread. */
final class CountingRequestHandler implements RequestHandler {

    private final RequestHandler next;
    private final TrafficCounter counter;
    private final KeyStatistics keys;
    private final List<String> tenants;
    private final Clock clock;
    private final EventLoopExecutor loop;
    private final Map<ResponseListener, CountingListener> open = new IdentityHashMap<>();

    /** Runs tasks on the event loop. */
    interface EventLoopExecutor {

        boolean isEventLoopThread();

        void execute(Runnable task);
    }

    /** @param tenants names by index */
    CountingRequestHandler(
            RequestHandler next,
            TrafficCounter counter,
            KeyStatistics keys,
            List<String> tenants,
            Clock clock,
            EventLoopExecutor loop) {
        this.next = next;
        this.counter = counter;
        this.keys = keys;
        this.tenants = tenants;
        this.clock = clock;
        this.loop = loop;
    }

    /** Runs a task on the event loop: at once if the caller is on its thread, as most callers are. */
    private void onLoop(Runnable task) {
        if (loop.isEventLoopThread()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    @Override
    public void handle(IncomingRequest request, ResponseListener listener) {
        onLoop(() -> {
            keys.onRequest(request, TrafficCounter.nameAt(tenants, request.tenant()), clock.nowMs());
            CountingListener counting = new CountingListener(request, listener);
            open.put(listener, counting);
            next.handle(request, counting);
        });
    }

    @Override
    public void cancel(String id, ResponseListener listener) {
        onLoop(() -> {
            CountingListener counting = open.remove(listener);
            if (counting != null) {
                counting.end(TrafficCounter.Outcome.FAILED);
            }
            next.cancel(id, counting == null ? listener : counting);
        });
    }

    private final class CountingListener implements ResponseListener {

        private final IncomingRequest request;
        private final ResponseListener client;

        CountingListener(IncomingRequest request, ResponseListener client) {
            this.request = request;
            this.client = client;
        }

        @Override
        public void onResponse(Message response) {
            endThen(TrafficCounter.Outcome.ANSWERED, () -> client.onResponse(response));
        }

        @Override
        public void onRejected(double retryAfterMs) {
            endThen(TrafficCounter.Outcome.REJECTED, () -> client.onRejected(retryAfterMs));
        }

        @Override
        public void onFailed(boolean timedOut) {
            endThen(TrafficCounter.Outcome.FAILED, () -> client.onFailed(timedOut));
        }

        @Override
        public boolean isClientWaiting() {
            return client.isClientWaiting();
        }

        /** Counts nothing, since the id belongs to another open request, which is counted when it ends. */
        @Override
        public void onDuplicateId() {
            onLoop(() -> {
                open.remove(client);
                client.onDuplicateId();
            });
        }

        /** Runs on the event loop, since inner handlers may call the listener from other threads. */
        private void endThen(TrafficCounter.Outcome outcome, Runnable response) {
            onLoop(() -> {
                end(outcome);
                response.run();
            });
        }

        void end(TrafficCounter.Outcome outcome) {
            open.remove(client);
            keys.onRequestEnded(request.id());
            counter.onRequestEnded(
                    request.id(),
                    request.tenant(),
                    request.requestClass(),
                    outcome,
                    clock.nowMs() - request.arrivedMs());
        }
    }
}
