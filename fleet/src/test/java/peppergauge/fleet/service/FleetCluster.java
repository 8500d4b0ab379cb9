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
import peppergauge.fleet.http.HttpCaller;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.planner.Planner;
import peppergauge.fleet.planning.HitRateForecasts;
import peppergauge.fleet.state.CallRate;
import peppergauge.fleet.state.ReportLimits;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
import peppergauge.promises.ZoneWeights;
import peppergauge.snapshot.storage.PosixFileSystem;

/** Instances on loopback in this process, each with its own threads and folder; any of their workers can be paused. */
final class FleetCluster implements AutoCloseable {

    static final long LEASE_MS = 1_500;
    private final Path root = Files.createTempDirectory("fleet");
    private final int[] ports;
    private final FleetService[] services;
    private final HttpCaller caller = new HttpCaller(60_000, 1 << 24);
    /** Latches of paused workers, by instance and worker, such as {@code "0 merge"}. */
    private final Map<String, CountDownLatch> pausedWorkers = new ConcurrentHashMap<>();
    /** Workers, named likewise, that violate an invariant when they next read the clock. */
    final Set<String> plantedViolations = ConcurrentHashMap.newKeySet();

    final AtomicLong clockShiftMs = new AtomicLong();
    /** Forecast state to export in place of the real one, null for the real one. */
    volatile byte[] forecastStateOverride;
    /** Number of exports of forecast state. */
    final AtomicLong forecastStateExports = new AtomicLong();
    /** Forecasts of the instance that was started last. */
    volatile HitRateForecasts forecasts;

    volatile ZoneWeights plannedWeights = new ZoneWeights(Map.of("radio", Map.of("east", 0.5)));

    FleetCluster(int count) throws IOException {
        ports = new int[count];
        services = new FleetService[count];
        Arrays.setAll(ports, i -> freePort());
    }

    /** Returns a port below the ephemeral range, so that no other process is assigned it while its instance is down. */
    private static int freePort() {
        while (true) {
            try (ServerSocket free =
                    new ServerSocket(10_000 + ThreadLocalRandom.current().nextInt(20_000))) {
                return free.getLocalPort();
            } catch (IOException inUse) {
                // Tries another port.
            }
        }
    }

    FleetServiceConfig settings(int i) {
        List<FleetServiceConfig.Peer> peers = new ArrayList<>();
        for (int j = 0; j < ports.length; j++) {
            if (j != i) {
                peers.add(new FleetServiceConfig.Peer("fleet-" + j, address(j)));
            }
        }
        return new FleetServiceConfig(
                Samples.SITE,
                "fleet-" + i,
                i + 1,
                new InetSocketAddress("127.0.0.1", ports[i]),
                peers,
                root.resolve("f" + i),
                new ReportLimits(30_000, 5_000, 3_600_000, 100, 50, 1 << 20),
                new CallRate(50, 100, 10_000),
                new CallRate(100, 50, 10_000),
                new Membership.Timeouts(600, 400),
                new FleetServiceConfig.Tables(100, LEASE_MS, 0.1),
                new FleetServiceConfig.Times(50, 200, 300),
                new FleetServiceConfig.Sizes(100_000, 100, 50, 8));
    }

    void start(int i) throws IOException, InterruptedException {
        LongSupplier clock = () -> {
            String thread = Thread.currentThread().getName();
            pauseOrFailIfPlanted(i, thread.startsWith("fleet-") ? thread.substring("fleet-".length()) : "intake");
            return System.currentTimeMillis() + clockShiftMs.get();
        };
        forecasts = new HitRateForecasts();
        HitRateForecasts own = forecasts;
        Planner planner = new Planner() {
            @Override
            public ZoneWeights plan(long nowMs, FleetView view) {
                pauseOrFailIfPlanted(i, "decide");
                return plannedWeights;
            }

            @Override
            public Map<String, ForecastAnswer> forecasts(long nowMs, FleetView view) {
                pauseOrFailIfPlanted(i, "forecast");
                own.step(nowMs, view, ZoneWeights.NEUTRAL);
                return own.answers();
            }

            @Override
            public byte[] exportForecastState() {
                forecastStateExports.incrementAndGet();
                return forecastStateOverride == null ? own.exportState() : forecastStateOverride;
            }

            @Override
            public void importForecastState(byte[] state) {
                own.importState(state);
            }
        };
        services[i] = new FleetService(settings(i), planner, new PosixFileSystem(), clock);
    }

    private void pauseOrFailIfPlanted(int i, String worker) {
        if (plantedViolations.remove(i + " " + worker)) {
            throw new AssertionError("planted in " + worker);
        }
        CountDownLatch latch = pausedWorkers.get(i + " " + worker);
        if (latch != null) {
            try {
                latch.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    void pauseWorker(int i, String worker) {
        pausedWorkers.put(i + " " + worker, new CountDownLatch(1));
    }

    void resumeWorker(int i, String worker) {
        pausedWorkers.remove(i + " " + worker).countDown();
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

    HttpCaller.Response post(int i, byte[] body) throws IOException {
        return caller.call(address(i), "/fleet/v1/reports", body);
    }

    HttpCaller.Response get(int i, String path) throws IOException {
        return caller.call(address(i), path, null);
    }

    String report(int i, DaemonReport report) throws IOException {
        return JsonCodec.read(post(i, JsonCodec.write(report)).body(), ReportResponse.class)
                .verdict();
    }

    TableResponse table(int i, long known) throws IOException {
        return JsonCodec.read(get(i, "/fleet/v1/table?known=" + known).body(), TableResponse.class);
    }

    int daemons(int i) {
        return (Integer) services[i].status().get("daemons");
    }

    /** Returns a value of an instance's status, by section and key. */
    Object status(int i, String section, String key) {
        return ((Map<?, ?>) services[i].status().get(section)).get(key);
    }

    void awaitStatus(int i, String section, String key, Object expected) throws InterruptedException {
        Samples.awaitCondition(section + " " + key + " is " + expected, () -> expected.equals(status(i, section, key)));
    }

    void awaitDaemons(int i, int count) throws InterruptedException {
        Samples.awaitCondition(count + " daemons at instance " + i, () -> daemons(i) == count);
    }

    /** Waits for a table that is newer than a version, also while the instance is unreachable, and returns it. */
    FleetTable awaitTable(int i, long known) throws InterruptedException {
        FleetTable[] found = new FleetTable[1];
        Samples.awaitCondition("a table after version " + known + " at instance " + i, () -> {
            try {
                found[0] = table(i, known).table();
                return found[0] != null;
            } catch (IOException unreachable) {
                return false;
            }
        });
        return found[0];
    }

    @Override
    public void close() throws IOException {
        pausedWorkers.values().forEach(CountDownLatch::countDown);
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
