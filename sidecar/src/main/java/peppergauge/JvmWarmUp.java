package peppergauge;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import peppergauge.config.Config;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.frontend.HttpFrontend;
import peppergauge.http.Headers;
import peppergauge.overload.OverloadController;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.Message;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.Scheduler;
import peppergauge.settings.SettingsNames;

/**
 * Warms up the JVM before the sidecar is ready: sends generated requests through frontend, dispatcher and backend, with
 * a load balancer that is discarded afterwards and this program's own listener as the only backend server. Without the
 * warm-up, a cold JVM with a fraction of a core misses the deadlines of its first clients.
 *
 * @param config the sidecar's configuration
 * @param settings the load balancer's settings
 * @param names the names of classes and tenants in the settings
 * @param frontend passes marked requests to the dispatcher of the warm-up
 * @param mayContinue whether the warm-up may continue; called before each request, from any thread
 */
record JvmWarmUp(
        Config config,
        Settings settings,
        SettingsNames names,
        HttpFrontend frontend,
        Backend backend,
        Clock clock,
        Scheduler scheduler,
        BooleanSupplier mayContinue) {

    private static final int REQUESTS = 1_500;
    private static final int MAX_IN_FLIGHT = 4;
    private static final int SERVERS = 4;
    private static final double REQUEST_TIMEOUT_MS = 1_000;
    private static final int POST_BODY_BYTES = 200;

    /**
     * Sends requests until all have a response or the time limit is reached.
     *
     * @param ownAddress the address of this program's listener
     * @param maxDurationMs the time limit
     * @return the number of requests sent
     */
    int run(InetSocketAddress ownAddress, long maxDurationMs) throws InterruptedException {
        String address = ownAddress.getHostString() + ":" + ownAddress.getPort();
        String requestIdPrefix = "r" + Long.toHexString(config.seed() ^ System.nanoTime()) + "-";
        RequestDispatcher dispatcher = new RequestDispatcher(
                new AdaptiveLoadBalancer(settings, config.seed()),
                backend,
                clock,
                scheduler,
                new OverloadController<>(Sidecar.overloadConfig(settings, config.seed())),
                settings.classes(),
                REQUEST_TIMEOUT_MS);
        dispatcher.disableRejectionLog();
        dispatcher.onEndpointUpdate(new EndpointUpdate(1, true, servers(address)));
        frontend.enableWarmUp(dispatcher, requestIdPrefix);
        Semaphore inFlightPermits = new Semaphore(MAX_IN_FLIGHT);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxDurationMs);
        List<Backend.Exchange> exchanges = new ArrayList<>();
        int sent = 0;
        while (sent < REQUESTS
                && mayContinue.getAsBoolean()
                && inFlightPermits.tryAcquire(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
            Message request = request(sent++, requestIdPrefix);
            scheduler.execute(() -> exchanges.add(backend.send(
                    new Backend.Server("self", address),
                    request,
                    clock.nowMs() + REQUEST_TIMEOUT_MS,
                    result -> inFlightPermits.release())));
        }
        inFlightPermits.tryAcquire(MAX_IN_FLIGHT, deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        // Connections and requests left open would count against the limits for clients.
        scheduler.execute(() -> exchanges.forEach(Backend.Exchange::abort));
        dispatcher.whenIdle(() -> {
            dispatcher.close();
            backend.onServerRemoved(new Backend.Server("self", address));
            servers(address)
                    .forEach(listed -> backend.onServerRemoved(
                            new Backend.Server(listed.endpoint().server(), address)));
        });
        return sent;
    }

    private static List<EndpointUpdate.EndpointAddress> servers(String address) {
        List<EndpointUpdate.EndpointAddress> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            endpoints.add(new EndpointUpdate.EndpointAddress(
                    new Endpoint("self-" + i, 0, 0, EndpointState.READY, 0), address));
        }
        return endpoints;
    }

    private Message request(int number, String requestIdPrefix) {
        int requestClass = number % names.classes().size();
        boolean isIdempotent = settings.classes().get(requestClass).idempotency() == Idempotency.IDEMPOTENT;
        List<Message.Field> fields = new ArrayList<>(List.of(
                new Message.Field("Host", "rehearsal"),
                new Message.Field(Headers.REQUEST_ID, requestIdPrefix + number),
                new Message.Field(Headers.REMAINING_TIME_MS, Long.toString((long) REQUEST_TIMEOUT_MS)),
                new Message.Field(HttpFrontend.WARM_UP_HEADER, requestIdPrefix)));
        fields.add(new Message.Field(
                Headers.TENANT,
                names.tenants().isEmpty()
                        ? "any"
                        : names.tenants().get(number % names.tenants().size())));
        return new Message(
                isIdempotent ? "GET" : "POST",
                "/" + names.classes().get(requestClass) + "/key-" + number,
                fields,
                new byte[isIdempotent ? 0 : POST_BODY_BYTES]);
    }
}
