package peppergauge.lab.play;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import peppergauge.lab.load.Generator;
import peppergauge.lab.load.Tally;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Discovery;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;
import peppergauge.lab.wire.Loop;

/** One scenario in real time, between real sidecars and stand-ins on loopback. Not to be used twice. */
public final class Play implements Closeable {

    /**
     * What came of it.
     *
     * @param lagMs by how much the load itself was late, at 99%; over a few ms the figures are the machine's
     * @param excused missing answers that count as no broken rule, since the lab was late itself
     * @param cpuUs of the sidecars, µs a try; of those that were not restarted alone
     */
    public record Played(RunResult result, double lagMs, int excused, double cpuUs) {}

    /** Servers that share a cell, as sidecars are told. */
    private static final int CELL = 6;
    /** Connections of one sidecar's clients. */
    private static final Generator.Shape CONNECTIONS = new Generator.Shape(4, 400, false);
    /** After the last deadline, for answers that are under way, ms. */
    private static final double AFTERMATH_MS = 500;

    private final Scenario scenario;
    private final Loop loop = new Loop("play");
    private final Stage stage;
    /** Completed by what ends the loop before its time. */
    private final CompletableFuture<Void> failure = new CompletableFuture<>();

    private final ExecutorService beside = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "processes");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Opens all ports.
     *
     * @throws IOException if they cannot be had
     */
    public Play(Scenario scenario, Launch launch) throws IOException {
        this(scenario, launch, Daemons.launched(Optional.empty()));
    }

    /**
     * Opens all ports.
     *
     * @param daemons how those sidecars are run that are more than the platform's
     * @throws IOException if they cannot be had
     */
    public Play(Scenario scenario, Launch launch, Daemons daemons) throws IOException {
        this.scenario = scenario;
        stage = new Stage(scenario, loop);
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            stage.seats.add(new Seat(stage, i, launch, daemons, beside));
        }
        int zones = scenario.network().zones().size();
        for (ServerKind kind : scenario.servers()) {
            for (int i = 1; i <= kind.count(); i++) {
                int index = stage.places.size();
                stage.places.add(new Place(stage, kind, kind.name() + '-' + i, index % zones, index / CELL));
            }
        }
        stage.roster = new Roster(stage);
    }

    /** What of a scenario is not played, in words; empty if all of it is. */
    public static List<String> leftOut(Scenario scenario) {
        return Stream.of(
                        scenario.servers().stream().anyMatch(kind -> kind.chokeAt() > 0) ? "choking servers" : "",
                        scenario.discovery().source() == Discovery.Source.PLATFORM
                                ? ""
                                : "discovery of another kind than the " + "platform's watch",
                        scenario.sidecars().work().isZero() ? "" : "the sidecars' modelled work; theirs is real",
                        scenario.entries().stream().anyMatch(entry -> switch (entry.what()) {
                                    case DEPLOY, KILL, VANISH -> true;
                                    default -> false;
                                })
                                ? "cold servers that fall over"
                                : "")
                .filter(text -> !text.isEmpty())
                .toList();
    }

    /**
     * Plays it to its end.
     *
     * @param name of the scenario, for the result
     * @throws IOException if a sidecar does not come up, or has ended at the end
     */
    public Played run(String name) throws IOException, InterruptedException {
        loop.onFailure(failure::completeExceptionally);
        loop.start();
        startSidecars();
        Script script = new Script(scenario);
        Demand demand = new Demand(scenario, script);
        Incidents incidents = new Incidents(stage);
        List<Generator> generators = new ArrayList<>();
        double[] before = cpuMs();
        onLoop(() -> {
            stage.begin();
            for (int i = 0; i < stage.seats.size(); i++) {
                Clients clients = new Clients(stage, demand, script, stage.seats.get(i), i + 1, rate(i));
                Generator generator = new Generator(
                        loop, stage.seats.get(i).address(), stage.seats.get(i)::speech, CONNECTIONS, clients);
                clients.use(generator);
                generators.add(generator);
            }
            stage.meters.start();
            stage.rules.start();
            incidents.start();
        });
        double longestMs = scenario.classes().stream()
                .map(RequestKind::deadline)
                .mapToDouble(Scenario::ms)
                .max()
                .orElse(0);
        await(Scenario.ms(scenario.run().length()) + longestMs + AFTERMATH_MS);
        double cpuUs = spentUs(before, cpuMs());
        Tally tally = new Tally();
        for (Generator generator : generators) {
            tally.add(generator.nextRound());
        }
        CompletableFuture<RunResult> result = new CompletableFuture<>();
        onLoop(() -> {
            generators.forEach(Generator::stop);
            result.complete(stage.meters.result(name, stage.rules.all(), incidents.events()));
        });
        for (Seat seat : stage.seats) {
            if (!seat.isAlive()) {
                throw new IOException(seat.name() + " has ended; its log:\n" + seat.said());
            }
        }
        RunResult whole = result.join();
        return new Played(
                whole,
                tally.lagMs(99),
                stage.rules.excused(),
                cpuUs / Math.max(1, whole.totals().tries()));
    }

    /** Until the time has passed, or the loop has failed. */
    private void await(double ms) throws IOException, InterruptedException {
        try {
            failure.get((long) ms, TimeUnit.MILLISECONDS);
        } catch (TimeoutException passed) {
            // As it should be.
        } catch (ExecutionException failed) {
            throw new IOException("the run failed: " + failed.getCause(), failed.getCause());
        }
    }

    private void startSidecars() throws IOException, InterruptedException {
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        for (Seat seat : stage.seats) {
            CompletableFuture<Void> start = new CompletableFuture<>();
            starts.add(start);
            beside.execute(() -> {
                try {
                    seat.open();
                    start.complete(null);
                } catch (IOException | InterruptedException failed) {
                    start.completeExceptionally(failed);
                }
            });
        }
        for (CompletableFuture<Void> start : starts) {
            try {
                start.join();
            } catch (CompletionException failed) {
                throw new IOException(failed.getCause().getMessage(), failed.getCause());
            }
        }
    }

    private void onLoop(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.post(() -> {
            task.run();
            done.complete(null);
        });
        CompletableFuture.anyOf(done, failure).join();
    }

    private double[] cpuMs() {
        return stage.seats.stream().mapToDouble(Seat::cpuMs).toArray();
    }

    private static double spentUs(double[] before, double[] after) {
        double sum = 0;
        for (int i = 0; i < before.length; i++) {
            sum += Math.max(0, after[i] - before[i]) * 1e3;
        }
        return sum;
    }

    /** Requests a second of one sidecar's clients; falls from the first to the last by the scenario's skew. */
    private double rate(int index) {
        double whole = 0;
        for (int i = 1; i <= scenario.sidecars().count(); i++) {
            whole += Math.pow(i, -scenario.sidecars().skew());
        }
        return scenario.clients().rate()
                * Math.pow(index + 1, -scenario.sidecars().skew())
                / whole;
    }

    /** Ends all sidecars and closes all ports, however far it came. */
    @Override
    public void close() throws IOException {
        for (Seat seat : stage.seats) {
            seat.close();
        }
        beside.shutdownNow();
        loop.close();
    }
}
