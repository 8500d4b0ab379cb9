package peppergauge.fleet.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
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
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.promises.Steering;
import peppergauge.snapshot.disk.RealDisk;

/** Instances on loopback in this process, each on its own threads and folder; any duty of any can be held up. */
final class Bed implements AutoCloseable {

    static final long LEASE_MS = 1_500;
    private final Path root = Files.createTempDirectory("fleet");
    private final int[] ports;
    private final FleetService[] services;
    private final Caller caller = new Caller(2_000, 1 << 24);
    /** By instance and duty, {@code "0 merge"}. */
    private final Map<String, CountDownLatch> held = new ConcurrentHashMap<>();
    /** Likewise: the next time that it looks at the clock, an invariant is broken there. */
    final Set<String> broken = ConcurrentHashMap.newKeySet();
    final AtomicLong clockShiftMs = new AtomicLong();
    /** How forecasts fared so far, wherever they come from; null for as it is. */
    volatile byte[] proved;
    /** Of the instance started last. */
    volatile KeyForecasts forecasts;
    volatile Steering wanted = new Steering(Map.of("radio", Map.of("east", 0.5)));

    Bed(int count) throws IOException {
        ports = new int[count];
        services = new FleetService[count];
        List<ServerSocket> taken = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            taken.add(new ServerSocket(0));
            ports[i] = taken.get(i).getLocalPort();
        }
        for (ServerSocket each : taken) {
            each.close();
        }
    }

    ServiceSettings settings(int i) {
        List<ServiceSettings.Peer> peers = new ArrayList<>();
        for (int j = 0; j < ports.length; j++) {
            if (j != i) {
                peers.add(new ServiceSettings.Peer("fleet-" + j, address(j)));
            }
        }
        return new ServiceSettings(Samples.SITE, "fleet-" + i, i + 1, new InetSocketAddress("127.0.0.1", ports[i]),
                peers, root.resolve("f" + i), new Limits(30_000, 5_000, 3_600_000, 100, 50, 1 << 20),
                new Pace(50, 100, 10_000), new Pace(100, 50, 10_000), new Membership.Patience(600, 400),
                new ServiceSettings.Tables(100, LEASE_MS, 0.1), new ServiceSettings.Times(50, 200, 300),
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
            public Steering plan(long nowMs, MergedView merged) {
                pass(i, "decide");
                return wanted;
            }

            @Override
            public Map<String, ForecastAnswer> forecasts(long nowMs, MergedView merged) {
                pass(i, "forecast");
                own.step(nowMs, merged, Steering.NONE);
                return own.answers();
            }

            @Override
            public byte[] forecastState() {
                return proved == null ? own.kept() : proved;
            }

            @Override
            public void restoreForecasts(byte[] state) {
                own.restore(state);
            }
        };
        services[i] = new FleetService(settings(i), planner, new RealDisk(), clock);
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
        return Json.read(caller.call(address(i), "/fleet/v1/table?known=" + known, null).body(), TableAnswer.class);
    }

    @SuppressWarnings("unchecked") // of this test's own making
    static <T> T of(Map<String, Object> status, String key) {
        return (T) status.get(key);
    }

    static void until(String what, BooleanSupplier holds) {
        for (int i = 0; i < 1_000; i++) {
            if (holds.getAsBoolean()) {
                return;
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        throw new AssertionError("never: " + what);
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
            files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
