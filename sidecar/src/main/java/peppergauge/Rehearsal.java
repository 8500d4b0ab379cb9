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
 * Has the program serve itself before it says that it is ready: a cold Java machine with part of a core falls so
 * far behind its first clients that they have no answer by their deadlines, and their retries keep it there. The
 * requests take the whole way, frontend, module and backend, but with a module of their own that is thrown away,
 * and their only backend servers are this program's listener. No other party is spoken to.
 */
record Rehearsal(
        Config config,
        Settings settings,
        SettingsNames names,
        HttpFrontend frontend,
        Backend backend,
        Clock clock,
        Scheduler scheduler,
        BooleanSupplier mayGoOn) {

    private static final int REQUESTS = 1_500;
    private static final int AT_ONCE = 4;
    private static final int SERVERS = 4;
    private static final double WAIT_MS = 1_000;

    /** Returns how many requests it took when all are answered or time is up. */
    int run(InetSocketAddress self, long longestMs) throws InterruptedException {
        String address = self.getHostString() + ":" + self.getPort();
        String mark = "r" + Long.toHexString(config.seed() ^ System.nanoTime()) + "-";
        RequestDispatcher own = new RequestDispatcher(
                new AdaptiveLoadBalancer(settings, config.seed()),
                backend,
                clock,
                scheduler,
                new OverloadController<>(Sidecar.overload(settings, config.seed())),
                settings.classes(),
                WAIT_MS);
        own.onEndpointUpdate(new EndpointUpdate(1, true, servers(address)));
        frontend.enableRehearsal(own, mark);
        Semaphore free = new Semaphore(AT_ONCE);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestMs);
        List<Backend.Exchange> out = new ArrayList<>();
        int sent = 0;
        while (sent < REQUESTS
                && mayGoOn.getAsBoolean()
                && free.tryAcquire(until - System.nanoTime(), TimeUnit.NANOSECONDS)) {
            Message request = request(sent++, mark);
            scheduler.execute(() -> out.add(backend.send(
                    new Backend.Server("self", address), request, clock.nowMs() + WAIT_MS, result -> free.release())));
        }
        free.tryAcquire(AT_ONCE, until - System.nanoTime(), TimeUnit.NANOSECONDS);
        // Its connections would keep clients out: they have a claim, as of clients that were served, and a session
        // that is cut short has its places until it ends.
        scheduler.execute(() -> out.forEach(Backend.Exchange::abort));
        own.whenIdle(() -> {
            own.close();
            backend.onServerRemoved(new Backend.Server("self", address));
            servers(address)
                    .forEach(row -> backend.onServerRemoved(
                            new Backend.Server(row.endpoint().server(), address)));
        });
        return sent;
    }

    private static List<EndpointUpdate.EndpointAddress> servers(String address) {
        List<EndpointUpdate.EndpointAddress> rows = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            rows.add(new EndpointUpdate.EndpointAddress(
                    new Endpoint("self-" + i, 0, 0, EndpointState.READY, 0), address));
        }
        return rows;
    }

    private Message request(int number, String mark) {
        int kind = number % names.classes().size();
        boolean safe = settings.classes().get(kind).idempotency() == Idempotency.IDEMPOTENT;
        List<Message.Field> fields = new ArrayList<>(List.of(
                new Message.Field("Host", "rehearsal"),
                new Message.Field(Headers.REQUEST_ID, mark + number),
                new Message.Field(Headers.REMAINING_TIME_MS, Long.toString((long) WAIT_MS)),
                new Message.Field(HttpFrontend.REHEARSAL_HEADER, mark)));
        fields.add(new Message.Field(
                Headers.TENANT,
                names.tenants().isEmpty()
                        ? "any"
                        : names.tenants().get(number % names.tenants().size())));
        return new Message(
                safe ? "GET" : "POST",
                "/" + names.classes().get(kind) + "/key-" + number,
                fields,
                new byte[safe ? 0 : 200]);
    }
}
