package peppergauge.fleet.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import peppergauge.fleet.Samples;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.decide.Planner;
import peppergauge.fleet.http.Caller;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.plan.KeyForecasts;
import peppergauge.fleet.state.Limits;
import peppergauge.fleet.state.Pace;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.promises.ZoneWeights;
import peppergauge.snapshot.storage.PosixFileSystem;

/** Instances on loopback in this process, each on its own threads and folder; any duty of any can be held up. */
final class Bed implements AutoCloseable {

    static final long LEASE_MS = 1_500;
    private final Path root = Files.createTempDirectory("fleet");
    private final int[] ports;
    private final FleetService[] services;
    private final Caller caller = new Caller(60_000, 1 << 24);
    /** By instance and duty, {@code "0 merge"}. */
    private final Map<String, CountDownLatch> held = new ConcurrentHashMap<>();
    /** Likewise: the next time that it looks at the clock, an invariant is broken there. */
    final Set<String> broken = ConcurrentHashMap.newKeySet();

    final AtomicLong clockShiftMs = new AtomicLong();
    /** How forecasts fared so far, wherever they come from; null for as it is. */
    volatile byte[] proved;
    /** How often that was asked for. */
    final AtomicLong proofs = new AtomicLong();
    /** Of the instance started last. */
    volatile KeyForecasts forecasts;

    volatile ZoneWeights wanted = new ZoneWeights(Map.of("radio", Map.of("east", 0.5)));

    Bed(int count) throws IOException {
        ports = new int[count];
        services = new FleetService[count];
        Arrays.setAll(ports, i -> freePort());
    }

    /** Below those that the system hands out: none of them is taken by somebody else while its instance is down. */
    private static int freePort() {
        while (true) {
            try (ServerSocket free =
                    new ServerSocket(10_000 + ThreadLocalRandom.current().nextInt(20_000))) {
                return free.getLocalPort();
            } catch (IOException taken) {
                // Another one, then.
            }
        }
    }

    ServiceSettings settings(int i) {
        List<ServiceSettings.Peer> peers = new ArrayList<>();
        for (int j = 0; j < ports.length; j++) {
            if (j != i) {
                peers.add(new ServiceSettings.Peer("fleet-" + j, address(j)));
            }
        }
        return new ServiceSettings(
                Samples.SITE,
                "fleet-" + i,
                i + 1,
                new InetSocketAddress("127.0.0.1", ports[i]),
                peers,
                root.resolve("f" + i),
                new Limits(30_000, 5_000, 3_600_000, 100, 50, 1 << 20),
                new Pace(50, 100, 10_000),
                new Pace(100, 50, 10_000),
                new Membership.Patience(600, 400),
                new ServiceSettings.Tables(100, LEASE_MS, 0.1),
                new ServiceSettings.Times(50, 200, 300),
                new ServiceSettings.Sizes(100_000, 100, 50, 8));
    }

    void start(int i) throws IOException, InterruptedException {
        LongSupplier clock = () -> {
            String thread = Thread.currentThread().getName();
            pass(i, thread.startsWith("fleet-") ? thread.substring("fleet-".length()) : "intake");
            return System.currentTimeMillis() + clockShiftMs.get();
        };
        forecasts = new KeyForecasts();
        KeyForecasts own = forecasts;
        Planner planner = new Planner() {
            @Override
            public ZoneWeights plan(long nowMs, MergedView merged) {
                pass(i, "decide");
                return wanted;
            }

            @Override
            public Map<String, ForecastAnswer> forecasts(long nowMs, MergedView merged) {
                pass(i, "forecast");
                own.step(nowMs, merged, ZoneWeights.NEUTRAL);
                return own.answers();
            }

            @Override
            public byte[] forecastState() {
                proofs.incrementAndGet();
                return proved == null ? own.kept() : proved;
            }

            @Override
            public void restoreForecasts(byte[] state) {
                own.restore(state);
            }
        };
        services[i] = new FleetService(settings(i), planner, new PosixFileSystem(), clock);
    }

    private void pass(int i, String duty) {
        if (broken.remove(i + " " + duty)) {
            throw new AssertionError("planted in " + duty);
        }
        CountDownLatch latch = held.get(i + " " + duty);
        if (latch != null) {
            try {
                latch.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    void hold(int i, String duty) {
        held.put(i + " " + duty, new CountDownLatch(1));
    }

    void release(int i, String duty) {
        held.remove(i + " " + duty).countDown();
    }

    String address(int i) {
        return "127.0.0.1:" + ports[i];
    }

    FleetService service(int i) {
        return services[i];
    }

    void crash(int i) throws IOException {
        services[i].crash();
        services[i] = null;
    }

    Path folder(int i) {
        return root.resolve("f" + i);
    }

    Caller.Answer post(int i, byte[] body) throws IOException {
        return caller.call(address(i), "/fleet/v1/reports", body);
    }

    Caller.Answer get(int i, String path) throws IOException {
        return caller.call(address(i), path, null);
    }

    String report(int i, DaemonReport report) throws IOException {
        return Json.read(post(i, Json.write(report)).body(), ReportAnswer.class).verdict();
    }

    TableAnswer table(int i, long known) throws IOException {
        return Json.read(get(i, "/fleet/v1/table?known=" + known).body(), TableAnswer.class);
    }

    int daemons(int i) {
        return (Integer) services[i].status().get("daemons");
    }

    /** What the status of an instance says under one of its heads. */
    Object status(int i, String head, String key) {
        return ((Map<?, ?>) services[i].status().get(head)).get(key);
    }

    void untilStatus(int i, String head, String key, Object says) throws InterruptedException {
        Samples.until(key + " " + says, () -> says.equals(status(i, head, key)));
    }

    void untilDaemons(int i, int count) throws InterruptedException {
        Samples.until(count + " at " + i, () -> daemons(i) == count);
    }

    /** The next one that is handed out after another; one that is out of reach has none. */
    FleetTable awaited(int i, long known) throws InterruptedException {
        FleetTable[] found = new FleetTable[1];
        Samples.until("a table after " + known + " at " + i, () -> {
            try {
                found[0] = table(i, known).table();
                return found[0] != null;
            } catch (IOException gone) {
                return false;
            }
        });
        return found[0];
    }

    @Override
    public void close() throws IOException {
        held.values().forEach(CountDownLatch::countDown);
        for (FleetService service : services) {
            if (service != null) {
                service.close();
            }
        }
        caller.close();
        try (var files = Files.walk(root)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }
}
