package peppergauge.fleet.reader;

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
import peppergauge.fleet.http.Caller;
import peppergauge.fleet.state.Latencies;
import peppergauge.fleet.table.Acceptance;
import peppergauge.fleet.table.TableReader;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.log.Log;
import peppergauge.promises.ZoneWeights;

/**
 * Reports and asks, one thing at a time, on a thread of its own. What is in force moves on another: a service that
 * takes calls and says nothing must not hold up the end of a lease.
 */
final class Reporting implements AutoCloseable {

    private static final int TABLE_BYTES = 1 << 20;
    /** Steering moves by itself, so it is looked at again; between calls the other thread looks as often. */
    private static final long LOOK_MS = 500;

    private static final long COLLECT_MS = 2_000;

    /** What the loop counted, as of one moment. */
    record Counted(List<Witness.Cells> cells, KeySource.Told keys) {}

    private final ReaderSettings settings;
    private final String daemon;
    private final LongSupplier clock;
    private final Consumer<CompletableFuture<Counted>> collector;
    private final Consumer<ZoneWeights> steer;
    private final Caller caller;
    private final Addresses reportsTo;
    /** For whoever holds its lock: both threads. */
    private final TableReader reader;

    private final Random random;
    private final Thread thread = new Thread(this::run, "fleet");
    private final Thread leaning = new Thread(this::lean, "fleet-leaning");
    private final Map<String, Long> said = new TreeMap<>();
    private long incarnation;
    private long sequence;
    private long reportAtMs;
    private long askAtMs;
    private volatile long reportMs;
    private volatile long askMs;
    private volatile ZoneWeights told = ZoneWeights.NEUTRAL;
    private boolean failing;
    private volatile boolean closed;

    /**
     * @param seed its own in each daemon
     * @param collector has the loop complete it
     * @param steer takes what is in force each time that it has changed
     */
    Reporting(
            ReaderSettings settings,
            String daemon,
            long seed,
            LongSupplier clock,
            Consumer<CompletableFuture<Counted>> collector,
            Consumer<ZoneWeights> steer) {
        this.settings = settings;
        this.daemon = daemon;
        this.clock = clock;
        this.collector = collector;
        this.steer = steer;
        random = random(seed, daemon);
        reportsTo = new Addresses(settings.addresses(), settings.longestMs(), random);
        caller = new Caller(settings.patienceMs(), TABLE_BYTES);
        reader = new TableReader(settings.bounds());
        reportMs = settings.firstMs();
        askMs = settings.firstMs();
        thread.setDaemon(true);
        leaning.setDaemon(true);
    }

    /** Well mixed: names that differ by one digit, and one seed for all, must not draw nearly the same. */
    static Random random(long seed, String daemon) {
        return new Random(new SplittableRandom(seed * 31 + daemon.hashCode()).nextLong());
    }

    void start() {
        incarnation = clock.getAsLong();
        reportAtMs = incarnation + (long) (reportMs * random.nextDouble());
        askAtMs = incarnation + (long) (askMs * random.nextDouble());
        thread.start();
        if (settings.steers()) {
            leaning.start();
        }
    }

    private void run() {
        while (!closed) {
            try {
                step(clock.getAsLong());
                long rest = Math.min(LOOK_MS, Math.min(reportAtMs, askAtMs) - clock.getAsLong());
                Thread.sleep(Math.max(1, Math.min(LOOK_MS, rest)));
            } catch (InterruptedException ended) {
                return;
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError bug) {
                Log.bug("fleet", bug);
                reportAtMs = clock.getAsLong() + settings.longestMs();
                askAtMs = reportAtMs;
            } catch (AssertionError broken) {
                broken(broken);
            }
        }
    }

    private void step(long now) throws InterruptedException {
        if (now >= reportAtMs) {
            reportAtMs = now + report(now);
        }
        if (settings.steers() && now >= askAtMs) {
            askAtMs = now + ask();
        }
    }

    private void lean() {
        while (!closed) {
            try {
                Thread.sleep(leanMs());
            } catch (InterruptedException ended) {
                return;
            } catch (RuntimeException | StackOverflowError | OutOfMemoryError bug) {
                Log.bug("fleet", bug);
            } catch (AssertionError broken) {
                broken(broken);
            }
        }
    }

    private synchronized void told(ZoneWeights inForce) {
        if (!closed && !inForce.equals(told)) {
            told = inForce;
            steer.accept(inForce);
        }
    }

    /** Under -ea alone. Both threads end, for nothing here is believed any more; sessions go on, and lean no more. */
    private synchronized void broken(AssertionError invariant) {
        closed = true;
        Log.bug("invariant", invariant);
        say("ended by an invariant");
        told = ZoneWeights.NEUTRAL;
        steer.accept(ZoneWeights.NEUTRAL);
    }

    /** @return until it is to be looked at again: not beyond the lease's end */
    private long leanMs() {
        long leftMs;
        ZoneWeights inForce;
        synchronized (reader) {
            long now = clock.getAsLong();
            inForce = reader.steering(now);
            leftMs = reader.leftMs(now);
        }
        told(inForce);
        return leftMs > 0 ? Math.min(LOOK_MS, leftMs) : LOOK_MS;
    }

    private long report(long now) throws InterruptedException {
        try {
            Counted counted = counted();
            DaemonReport report = new DaemonReport(
                    settings.site(),
                    daemon,
                    incarnation,
                    ++sequence,
                    now,
                    counted.cells().stream().map(Reporting::wire).toList(),
                    counted.keys().keys(),
                    counted.keys().servers(),
                    counted.keys().serviceTimes(),
                    counted.keys().levels());
            Caller.Answer answer = caller.call(reportsTo.present(), "/fleet/v1/reports", Json.write(report));
            ReportAnswer read = Json.read(answer.body(), ReportAnswer.class);
            say(answer.status() == 200 ? "reports taken" : "reports " + read.verdict());
            if (answer.status() == 503) {
                return reportsTo.failed(reportMs);
            }
            reportMs = Math.max(1, read.reportMs());
            askMs = Math.max(1, read.askMs());
            worked();
            return reportsTo.worked(reportMs);
        } catch (IOException | IllegalArgumentException | ExecutionException | TimeoutException failed) {
            failed(failed);
            return reportsTo.failed(reportMs);
        }
    }

    private Counted counted() throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Counted> future = new CompletableFuture<>();
        collector.accept(future);
        return future.get(COLLECT_MS, TimeUnit.MILLISECONDS);
    }

    private static DaemonReport.CellCounts wire(Witness.Cells cells) {
        return new DaemonReport.CellCounts(
                cells.cell().tenant(),
                cells.cell().requestClass(),
                cells.cell().zone(),
                cells.answered(),
                cells.denied(),
                cells.failed(),
                cells.latency() == null ? null : Latencies.encode(cells.latency()));
    }

    private long ask() {
        try {
            Caller.Answer answer = caller.call(reportsTo.present(), "/fleet/v1/table?known=" + version(), null);
            TableAnswer read = Json.read(answer.body(), TableAnswer.class);
            if (answer.status() != 200) {
                throw new IOException("it answers " + answer.status());
            }
            if (read.table() != null) {
                Acceptance acceptance;
                synchronized (reader) {
                    acceptance = reader.offer(read.table(), clock.getAsLong());
                }
                say("tables " + acceptance.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            }
            worked();
            askMs = Math.max(1, read.askMs());
            return reportsTo.worked(askMs);
        } catch (IOException | IllegalArgumentException failed) {
            failed(failed);
            return reportsTo.failed(askMs);
        }
    }

    private long version() {
        synchronized (reader) {
            return reader.version();
        }
    }

    private void worked() {
        if (failing) {
            failing = false;
            Log.line("fleet", "the fleet service answers again, at " + reportsTo.present());
        }
    }

    private void failed(Exception why) {
        say("calls failed");
        if (!failing) {
            failing = true;
            Log.line("fleet", "no answer of the fleet service at " + reportsTo.present() + ": " + why.getMessage());
        }
    }

    private void say(String what) {
        synchronized (said) {
            said.merge(what, 1L, Long::sum);
        }
    }

    /** For people; any thread. */
    Map<String, Object> report() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("site", settings.site());
        synchronized (reader) {
            report.put("version", reader.version());
            report.put("lease_left_ms", reader.leftMs(clock.getAsLong()));
        }
        report.put("report_ms", reportMs);
        report.put("ask_ms", askMs);
        report.put("in_force", told.weights());
        synchronized (said) {
            report.put("counts", new LinkedHashMap<>(said));
        }
        return report;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        leaning.interrupt();
        caller.close();
    }
}
