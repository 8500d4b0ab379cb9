package peppergauge.fleet.client;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import peppergauge.fleet.http.HttpCaller;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.table.LeasedTable;
import peppergauge.fleet.table.TableVerdict;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
import peppergauge.log.Log;
import peppergauge.promises.ZoneWeights;

/**
 * Sends reports to the fleet service and polls it for tables on one thread, and updates the effective weights on
 * another, so that a blocked call cannot delay the end of a lease.
 */
final class FleetClient implements AutoCloseable {

    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    /** Longest time between two updates of the effective weights, and between two checks for due calls. */
    private static final long CHECK_INTERVAL_MS = 500;

    private static final long COLLECT_TIMEOUT_MS = 2_000;

    /** Snapshot of the counters of the event loop. */
    record Counters(List<TrafficCounter.KeyCounts> counts, KeyStatistics.Snapshot keys) {}

    private final FleetClientConfig settings;
    private final String daemon;
    private final LongSupplier clock;
    private final Consumer<CompletableFuture<Counters>> collector;
    private final Consumer<ZoneWeights> weightsConsumer;
    private final HttpCaller caller;
    private final InstanceSelector instances;
    /** Used by both threads; guarded by its own monitor. */
    private final LeasedTable table;

    private final Random random;
    private final Thread callThread = new Thread(this::runCalls, "fleet");
    private final Thread weightsThread = new Thread(this::runWeights, "fleet-weights");
    /** Counts for the status page, by name; guarded by its own monitor. */
    private final Map<String, Long> counts = new TreeMap<>();

    private long incarnation;
    private long sequence;
    private long nextReportMs;
    private long nextPollMs;
    private volatile long reportIntervalMs;
    private volatile long pollIntervalMs;
    private volatile ZoneWeights published = ZoneWeights.NEUTRAL;
    private boolean failing;
    private volatile boolean closed;

    /**
     * Creates the client; {@link #start} starts its threads.
     *
     * @param seed seed of random delays and of the choice of instances, mixed with the daemon's name
     * @param clock Unix time, ms
     * @param collector makes the event loop complete the future with its counters
     * @param weightsConsumer receives the effective weights whenever they change
     */
    FleetClient(
            FleetClientConfig settings,
            String daemon,
            long seed,
            LongSupplier clock,
            Consumer<CompletableFuture<Counters>> collector,
            Consumer<ZoneWeights> weightsConsumer) {
        this.settings = settings;
        this.daemon = daemon;
        this.clock = clock;
        this.collector = collector;
        this.weightsConsumer = weightsConsumer;
        random = random(seed, daemon);
        instances = new InstanceSelector(settings.addresses(), settings.maxIntervalMs(), random);
        caller = new HttpCaller(settings.timeoutMs(), MAX_RESPONSE_BYTES);
        table = new LeasedTable(settings.tableLimits());
        reportIntervalMs = settings.initialIntervalMs();
        pollIntervalMs = settings.initialIntervalMs();
        callThread.setDaemon(true);
        weightsThread.setDaemon(true);
    }

    /** Returns a generator with a mixed seed, since daemons may share a seed and have similar names. */
    static Random random(long seed, String daemon) {
        return new Random(new SplittableRandom(seed * 31 + daemon.hashCode()).nextLong());
    }

    void start() {
        incarnation = clock.getAsLong();
        nextReportMs = incarnation + (long) (reportIntervalMs * random.nextDouble());
        nextPollMs = incarnation + (long) (pollIntervalMs * random.nextDouble());
        callThread.start();
        if (settings.appliesTables()) {
            weightsThread.start();
        }
    }

    // ---- Call thread ----

    private void runCalls() {
        while (!closed) {
            try {
                callIfDue(clock.getAsLong());
                long waitMs = Math.min(CHECK_INTERVAL_MS, Math.min(nextReportMs, nextPollMs) - clock.getAsLong());
                Thread.sleep(Math.max(1, Math.min(CHECK_INTERVAL_MS, waitMs)));
            } catch (InterruptedException ended) {
                return;
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError unexpected) {
                Log.error("fleet_call_failed", unexpected);
                nextReportMs = clock.getAsLong() + settings.maxIntervalMs();
                nextPollMs = nextReportMs;
            } catch (AssertionError broken) {
                onBrokenInvariant(broken);
            }
        }
    }

    private void callIfDue(long now) throws InterruptedException {
        if (now >= nextReportMs) {
            nextReportMs = now + report(now);
        }
        if (settings.appliesTables() && now >= nextPollMs) {
            nextPollMs = now + poll();
        }
    }

    /** Sends a report; returns the delay until the next one, ms. */
    private long report(long now) throws InterruptedException {
        try {
            HttpCaller.Response response =
                    caller.call(instances.current(), "/fleet/v1/reports", JsonCodec.write(buildReport(now)));
            ReportResponse read = JsonCodec.read(response.body(), ReportResponse.class);
            count(response.status() == 200 ? "reports taken" : "reports " + read.verdict());
            if (response.status() == 503) {
                return instances.onFailure(reportIntervalMs);
            }
            reportIntervalMs = Math.max(1, read.reportIntervalMs());
            pollIntervalMs = Math.max(1, read.pollIntervalMs());
            onCallSucceeded();
            return instances.onSuccess(reportIntervalMs);
        } catch (IOException | IllegalArgumentException | ExecutionException | TimeoutException failed) {
            onCallFailed(failed);
            return instances.onFailure(reportIntervalMs);
        }
    }

    private DaemonReport buildReport(long now) throws InterruptedException, ExecutionException, TimeoutException {
        Counters counters = collectCounters();
        return new DaemonReport(
                settings.site(),
                daemon,
                incarnation,
                ++sequence,
                now,
                counters.counts().stream().map(FleetClient::toWire).toList(),
                counters.keys().keys(),
                counters.keys().servers(),
                counters.keys().serviceTimes(),
                counters.keys().responseTimes());
    }

    private Counters collectCounters() throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Counters> future = new CompletableFuture<>();
        collector.accept(future);
        return future.get(COLLECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static DaemonReport.TrafficCounts toWire(TrafficCounter.KeyCounts counts) {
        return new DaemonReport.TrafficCounts(
                counts.key().tenant(),
                counts.key().requestClass(),
                counts.key().zone(),
                counts.answered(),
                counts.rejected(),
                counts.failed(),
                counts.latency() == null ? null : LatencyHistograms.encode(counts.latency()));
    }

    /** Polls for a table; returns the delay until the next poll, ms. */
    private long poll() {
        try {
            HttpCaller.Response response = caller.call(instances.current(), "/fleet/v1/table?known=" + version(), null);
            TableResponse read = JsonCodec.read(response.body(), TableResponse.class);
            if (response.status() != 200) {
                throw new IOException("expected status 200 for a table, got " + response.status());
            }
            if (read.table() != null) {
                TableVerdict verdict;
                synchronized (table) {
                    verdict = table.offer(read.table(), clock.getAsLong());
                }
                count("tables " + verdict.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            }
            onCallSucceeded();
            pollIntervalMs = Math.max(1, read.pollIntervalMs());
            return instances.onSuccess(pollIntervalMs);
        } catch (IOException | IllegalArgumentException failed) {
            onCallFailed(failed);
            return instances.onFailure(pollIntervalMs);
        }
    }

    private long version() {
        synchronized (table) {
            return table.version();
        }
    }

    private void onCallSucceeded() {
        if (failing) {
            failing = false;
            Log.event("fleet_service_recovered", "address", instances.current());
        }
    }

    private void onCallFailed(Exception cause) {
        count("calls failed");
        if (!failing) {
            failing = true;
            Log.event("fleet_service_unreachable", "address", instances.current(), "reason", cause.getMessage());
        }
    }

    // ---- Weights thread ----

    private void runWeights() {
        while (!closed) {
            try {
                Thread.sleep(updateWeights());
            } catch (InterruptedException ended) {
                return;
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError unexpected) {
                Log.error("fleet_weights_update_failed", unexpected);
            } catch (AssertionError broken) {
                onBrokenInvariant(broken);
            }
        }
    }

    /** Updates the effective weights; returns the time until the next update, at most until the lease ends, ms. */
    private long updateWeights() {
        long leftMs;
        ZoneWeights effective;
        synchronized (table) {
            long now = clock.getAsLong();
            effective = table.effectiveWeights(now);
            leftMs = table.leaseLeftMs(now);
        }
        publish(effective);
        return leftMs > 0 ? Math.min(CHECK_INTERVAL_MS, leftMs) : CHECK_INTERVAL_MS;
    }

    private synchronized void publish(ZoneWeights effective) {
        if (!closed && !effective.equals(published)) {
            published = effective;
            weightsConsumer.accept(effective);
        }
    }

    /** Ends both threads and returns to neutral weights. Called only where assertions are enabled. */
    private synchronized void onBrokenInvariant(AssertionError invariant) {
        closed = true;
        Log.bug("invariant", invariant);
        count("ended by an invariant");
        published = ZoneWeights.NEUTRAL;
        weightsConsumer.accept(ZoneWeights.NEUTRAL);
    }

    // ---- Any thread ----

    private void count(String name) {
        synchronized (counts) {
            counts.merge(name, 1L, Long::sum);
        }
    }

    /** Returns the status page. Any thread. */
    Map<String, Object> report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("site", settings.site());
        synchronized (table) {
            report.put("version", table.version());
            report.put("lease_left_ms", table.leaseLeftMs(clock.getAsLong()));
        }
        report.put("report_ms", reportIntervalMs);
        report.put("ask_ms", pollIntervalMs);
        report.put("in_force", published.weights());
        synchronized (counts) {
            report.put("counts", new LinkedHashMap<>(counts));
        }
        return report;
    }

    @Override
    public void close() {
        closed = true;
        callThread.interrupt();
        weightsThread.interrupt();
        caller.close();
    }
}
