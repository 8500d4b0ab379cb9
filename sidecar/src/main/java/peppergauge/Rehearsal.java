package peppergauge;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import peppergauge.config.Config;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Decide;
import peppergauge.frontend.HttpFrontend;
import peppergauge.http.Headers;
import peppergauge.overload.Overload;
import peppergauge.session.Backend;
import peppergauge.session.Clock;
import peppergauge.session.Message;
import peppergauge.session.Scheduler;
import peppergauge.session.ServerTable;
import peppergauge.session.Sessions;
import peppergauge.settings.SiteNames;

/**
 * Has the program serve itself before it says that it is ready: a cold Java machine with part of a core falls so
 * far behind its first clients that they have no answer by their deadlines, and their retries keep it there. The
 * requests take the whole way, frontend, module and backend, but with a module of their own that is thrown away,
 * and their only backend servers are this program's listener. No other party is spoken to.
 */
record Rehearsal(
        Config config,
        Settings settings,
        SiteNames names,
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
        Sessions own = new Sessions(
                new Decide(settings, config.seed()),
                backend,
                clock,
                scheduler,
                new Overload<>(Sidecar.overload(settings, config.seed())),
                settings.classes(),
                WAIT_MS);
        own.listed(new ServerTable(1, true, servers(address)));
        frontend.rehearse(own, mark);
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
        scheduler.execute(() -> out.forEach(Backend.Exchange::abandon));
        own.whenIdle(() -> {
            own.close();
            backend.forget(new Backend.Server("self", address));
            servers(address)
                    .forEach(
                            row -> backend.forget(new Backend.Server(row.entry().server(), address)));
        });
        return sent;
    }

    private static List<ServerTable.Row> servers(String address) {
        List<ServerTable.Row> rows = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            rows.add(new ServerTable.Row(new ServerEntry("self-" + i, 0, 0, ServerState.READY, 0), address));
        }
        return rows;
    }

    private Message request(int number, String mark) {
        int kind = number % names.classes().size();
        boolean safe = settings.classes().get(kind).effect() == Effect.SAFE;
        List<Message.Field> fields = new ArrayList<>(List.of(
                new Message.Field("Host", "rehearsal"),
                new Message.Field(Headers.ID, mark + number),
                new Message.Field(Headers.REMAINING_MS, Long.toString((long) WAIT_MS)),
                new Message.Field(HttpFrontend.REHEARSAL, mark)));
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
