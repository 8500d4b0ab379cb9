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
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;
import peppergauge.lab.wire.Loop;

/** Runs one scenario in real time, with sidecar processes and stand-in servers on loopback. Runs once only. */
public final class Play implements Closeable {

    /**
     * The outcome of a run.
     *
     * @param lagMs p99 of the load generator's own lateness; above a few ms the figures reflect an overloaded host
     * @param excusedMissingResponses number of missing responses that are not reported as violations, since the lab
     *     itself was late
     * @param cpuUs CPU time per attempt of those sidecars that were not restarted, in µs
     */
    public record PlayResult(RunResult result, double lagMs, int excusedMissingResponses, double cpuUs) {}

    /** Number of servers in a cell of the endpoint list. */
    private static final int SERVERS_PER_CELL = 6;
    /** The connections of one sidecar's clients. */
    private static final Generator.Shape CONNECTIONS = new Generator.Shape(4, 400, false);
    /** Time after the last deadline in which responses in flight still arrive. */
    private static final double FINAL_RESPONSES_MS = 500;

    private final Scenario scenario;
    private final Loop loop = new Loop("play");
    private final RunContext context;
    /** Completed exceptionally by a failure that ends the loop. */
    private final CompletableFuture<Void> failure = new CompletableFuture<>();

    private final ExecutorService background = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "processes");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Opens all ports.
     *
     * @throws IOException if a port cannot be opened
     */
    public Play(Scenario scenario, Launch launch) throws IOException {
        this(scenario, launch, DaemonLauncher.launched(Optional.empty()));
    }

    /**
     * Opens all ports.
     *
     * @param daemons how daemons are started
     * @throws IOException if a port cannot be opened
     */
    public Play(Scenario scenario, Launch launch, DaemonLauncher daemons) throws IOException {
        this.scenario = scenario;
        context = new RunContext(scenario, loop);
        for (int i = 0; i < scenario.sidecars().count(); i++) {
            context.sidecars.add(new SidecarInstance(context, i, launch, daemons, background));
        }
        int zones = scenario.network().zones().size();
        for (ServerGroup kind : scenario.servers()) {
            for (int i = 1; i <= kind.count(); i++) {
                int index = context.serverSlots.size();
                context.serverSlots.add(
                        new ServerSlot(context, kind, kind.name() + '-' + i, index % zones, index / SERVERS_PER_CELL));
            }
        }
        context.discovery = new DiscoveryFeed(context);
    }

    /** Returns descriptions of those parts of a scenario that a run in real time leaves out. */
    public static List<String> leftOut(Scenario scenario) {
        return Stream.of(
                        scenario.servers().stream().anyMatch(kind -> kind.chokeAt() > 0) ? "choking servers" : "",
                        scenario.discovery().source() == Discovery.Source.PLATFORM
                                ? ""
                                : "discovery of another kind than the platform's watch",
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
     * Runs the scenario to its end.
     *
     * @param name the scenario's name in the result
     * @throws IOException if a sidecar does not start, or is not alive at the end
     */
    public PlayResult run(String name) throws IOException, InterruptedException {
        loop.onFailure(failure::completeExceptionally);
        loop.start();
        startSidecars();
        IncidentSchedule schedule = new IncidentSchedule(scenario);
        RequestMix mix = new RequestMix(scenario, schedule);
        IncidentRunner incidents = new IncidentRunner(context);
        List<Generator> generators = new ArrayList<>();
        double[] before = cpuMs();
        onLoop(() -> {
            context.begin();
            for (int i = 0; i < context.sidecars.size(); i++) {
                SidecarInstance sidecar = context.sidecars.get(i);
                ClientSource clients = new ClientSource(context, mix, schedule, sidecar, i + 1, rate(i));
                Generator generator = new Generator(loop, sidecar.address(), sidecar::codec, CONNECTIONS, clients);
                clients.attach(generator);
                generators.add(generator);
            }
            context.meters.start();
            context.rules.start();
            incidents.start();
        });
        double longestMs = scenario.classes().stream()
                .map(RequestClassSpec::deadline)
                .mapToDouble(Scenario::toMillis)
                .max()
                .orElse(0);
        await(Scenario.toMillis(scenario.run().length()) + longestMs + FINAL_RESPONSES_MS);
        double cpuUs = spentUs(before, cpuMs());
        Tally tally = new Tally();
        for (Generator generator : generators) {
            tally.add(generator.nextRound());
        }
        CompletableFuture<RunResult> result = new CompletableFuture<>();
        onLoop(() -> {
            generators.forEach(Generator::stop);
            result.complete(context.meters.result(name, context.rules.all(), incidents.events()));
        });
        for (SidecarInstance sidecar : context.sidecars) {
            if (!sidecar.isAlive()) {
                throw new IOException(
                        sidecar.name() + " is not alive at the end of the run; its log:\n" + sidecar.log());
            }
        }
        RunResult whole = result.join();
        return new PlayResult(
                whole,
                tally.lagMs(99),
                context.rules.excusedMissingResponses(),
                cpuUs / Math.max(1, whole.totals().tries()));
    }

    /** Waits for a time, or until the loop has failed. */
    private void await(double ms) throws IOException, InterruptedException {
        try {
            failure.get((long) ms, TimeUnit.MILLISECONDS);
        } catch (TimeoutException passed) {
            // The loop has not failed within the time.
        } catch (ExecutionException failed) {
            throw new IOException("the run's event loop failed: " + failed.getCause(), failed.getCause());
        }
    }

    private void startSidecars() throws IOException, InterruptedException {
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        for (SidecarInstance sidecar : context.sidecars) {
            CompletableFuture<Void> start = new CompletableFuture<>();
            starts.add(start);
            background.execute(() -> {
                try {
                    sidecar.open();
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
        return context.sidecars.stream().mapToDouble(SidecarInstance::cpuMs).toArray();
    }

    private static double spentUs(double[] before, double[] after) {
        double sum = 0;
        for (int i = 0; i < before.length; i++) {
            sum += Math.max(0, after[i] - before[i]) * 1e3;
        }
        return sum;
    }

    /** Returns the request rate of one sidecar's clients; it falls with the index by the scenario's skew. */
    private double rate(int index) {
        double whole = 0;
        for (int i = 1; i <= scenario.sidecars().count(); i++) {
            whole += Math.pow(i, -scenario.sidecars().skew());
        }
        return scenario.clients().rate()
                * Math.pow(index + 1, -scenario.sidecars().skew())
                / whole;
    }

    /** Stops all sidecars and closes all ports, also after a failed or interrupted run. */
    @Override
    public void close() throws IOException {
        for (SidecarInstance sidecar : context.sidecars) {
            sidecar.close();
        }
        background.shutdownNow();
        loop.close();
    }
}
