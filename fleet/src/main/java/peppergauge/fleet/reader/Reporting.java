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
import peppergauge.promises.Steering;

/** Reports and asks, one thing at a time, on a thread of its own. */
final class Reporting implements AutoCloseable {

    private static final int TABLE_BYTES = 1 << 20;
    /** Steering moves by itself, so it is looked at again. */
    private static final long LOOK_MS = 500;
    private static final long COLLECT_MS = 2_000;

    /** What the loop counted, as of one moment. */
    record Counted(List<Witness.Cells> cells, KeySource.Told keys) { }

    private final ReaderSettings settings;
    private final String daemon;
    private final LongSupplier clock;
    private final Consumer<CompletableFuture<Counted>> collector;
    private final Consumer<Steering> steer;
    private final Caller caller;
    private final Addresses reportsTo;
    private final TableReader reader;
    private final Random random;
    private final Thread thread = new Thread(this::run, "fleet");
    private final Map<String, Long> said = new TreeMap<>();
    private long incarnation;
    private long sequence;
    private long reportAtMs;
    private long askAtMs;
    private volatile long reportMs;
    private volatile long askMs;
    private volatile long version;
    private volatile Steering told = Steering.NONE;
    private boolean failing;
    private volatile boolean closed;

    /**
     * @param seed its own in each daemon
     * @param collector has the loop complete it
     * @param steer takes what is in force each time that it has changed
     */
    Reporting(ReaderSettings settings, String daemon, long seed, LongSupplier clock,
            Consumer<CompletableFuture<Counted>> collector, Consumer<Steering> steer) {
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
    }

    private void run() {
        try {
            while (!closed) {
                guarded(this::call);
                // Whatever became of the calls: what is in force fades by itself.
                guarded(this::lean);
                long rest = Math.min(LOOK_MS, Math.min(reportAtMs, askAtMs) - clock.getAsLong());
                Thread.sleep(Math.max(1, Math.min(LOOK_MS, rest)));
            }
        } catch (InterruptedException ended) {
            // It is closed.
        } catch (AssertionError broken) {
            // Under -ea alone. Nothing here is believed any more; sessions go on, and lean no more.
            Log.bug("invariant", broken);
            say("ended by an invariant");
            told = Steering.NONE;
            steer.accept(Steering.NONE);
        }
    }

    private interface Step {
        void run(long now) throws InterruptedException;
    }

    private void guarded(Step step) throws InterruptedException {
        try {
            step.run(clock.getAsLong());
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError bug) {
            Log.bug("fleet", bug);
            reportAtMs = clock.getAsLong() + settings.longestMs();
            askAtMs = reportAtMs;
        }
    }

    private void call(long now) throws InterruptedException {
        if (now >= reportAtMs) {
            reportAtMs = now + report(now);
        }
        if (settings.steers() && now >= askAtMs) {
            askAtMs = now + ask();
        }
    }

    private void lean(long now) {
        Steering inForce = reader.steering(now);
        if (!inForce.equals(told)) {
            told = inForce;
            steer.accept(inForce);
        }
    }

    private long report(long now) throws InterruptedException {
        try {
            Counted counted = counted();
            DaemonReport report = new DaemonReport(settings.site(), daemon, incarnation, ++sequence, now,
                    counted.cells().stream().map(Reporting::wire).toList(), counted.keys().keys(),
                    counted.keys().servers(), counted.keys().serviceTimes());
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
        return new DaemonReport.CellCounts(cells.cell().station(), cells.cell().requestClass(), cells.cell().zone(),
                cells.answered(), cells.denied(), cells.failed(),
                cells.latency() == null ? null : Latencies.encode(cells.latency()));
    }

    private long ask() {
        try {
            Caller.Answer answer = caller.call(reportsTo.present(), "/fleet/v1/table?known=" + reader.version(), null);
            TableAnswer read = Json.read(answer.body(), TableAnswer.class);
            if (answer.status() != 200) {
                throw new IOException("it answers " + answer.status());
            }
            if (read.table() != null) {
                Acceptance acceptance = reader.offer(read.table(), clock.getAsLong());
                version = reader.version();
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
        report.put("version", version);
        report.put("report_ms", reportMs);
        report.put("ask_ms", askMs);
        report.put("in_force", told.factors());
        synchronized (said) {
            report.put("counts", new LinkedHashMap<>(said));
        }
        return report;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        caller.close();
    }
}
