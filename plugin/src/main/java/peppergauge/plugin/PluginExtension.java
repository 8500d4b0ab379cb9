package peppergauge.plugin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import peppergauge.SidecarExtension;
import peppergauge.decision.LoadBalancer;
import peppergauge.log.Log;
import peppergauge.plugin.box.Counters;
import peppergauge.plugin.box.Host;
import peppergauge.plugin.box.Store;
import peppergauge.plugin.crew.Guard;
import peppergauge.plugin.files.PluginSpec;
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;

/** Puts plug-ins before the sessions. They can be exchanged while it runs; what they keep and count stays. */
public final class PluginExtension implements SidecarExtension.RequestInterceptor {

    private static final double TICK_MS = 1_000;
    /** Longer than any budget: what thinks when the program ends is through by then. */
    private static final long LONGEST_THINKING_MS = 1_500;

    private final List<PluginSpec> atStart;
    private final Map<String, Kept> kept = new HashMap<>();
    private final Guard guard = new Guard();
    private Context parts;
    private Attempts attempts;
    private PluginIntake intake;

    private record Kept(Store store, Counters counters) {}

    public PluginExtension(List<PluginSpec> atStart) {
        this.atStart = List.copyOf(atStart);
    }

    @Override
    public LoadBalancer wrapLoadBalancer(LoadBalancer module, Context given) {
        attempts = new Attempts(module, given.settingsNames().zones());
        return attempts;
    }

    /** @throws IllegalArgumentException if a plug-in cannot be used */
    @Override
    public RequestHandler wrapRequestHandler(RequestHandler next, Context given) {
        parts = given;
        intake = new PluginIntake(
                new PluginIntake.Place(next, given.loop(), given.loop()::isEventLoopThread, given.clock()::nowMs),
                given.settingsNames(),
                given.settings().limits(),
                attempts);
        intake.begin(prepare(atStart).plan);
        return intake;
    }

    @Override
    public void onStarting(RequestHandler all, RequestDispatcher sessions, Context given) {
        tickLater();
    }

    private void tickLater() {
        parts.loop().schedule(TICK_MS, () -> {
            intake.tick();
            tickLater();
        });
    }

    /** Plug-ins that are started and wait for their place. */
    public final class Prepared {

        private final Plan plan;

        private Prepared(Plan plan) {
            this.plan = plan;
        }

        /** Sessions that come from now on are theirs; those before end with the plug-ins that they began with. */
        public void install() {
            intake.install(plan);
        }

        /** They are not wanted after all. */
        public void drop() {
            plan.retire();
        }
    }

    /**
     * Starts plug-ins; none is asked before {@link Prepared#install}. Takes its time: not on the loop's thread.
     *
     * @throws IllegalArgumentException if one cannot be used, and which; all that were started end then
     */
    public synchronized Prepared prepare(List<PluginSpec> specs) {
        List<Installed> started = new ArrayList<>();
        if (!specs.isEmpty()) {
            WarmUp.once();
        }
        try {
            for (PluginSpec spec : specs) {
                requireClasses(spec);
                started.add(Installed.start(spec, host(spec), guard));
            }
            return new Prepared(new Plan(started, parts.settingsNames().classes()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            started.forEach(plugin -> plugin.crew.retire());
            throw new IllegalArgumentException("interrupted while plug-ins started");
        } catch (IllegalArgumentException refused) {
            started.forEach(plugin -> plugin.crew.retire());
            throw refused;
        }
    }

    private void requireClasses(PluginSpec spec) {
        for (String name : spec.classes()) {
            if (!parts.settingsNames().classes().contains(name)) {
                throw new IllegalArgumentException("plug-in " + spec.name() + ": no class is named " + name);
            }
        }
    }

    private Host host(PluginSpec spec) {
        Kept own = kept.computeIfAbsent(spec.name(), name -> new Kept(new Store(spec.storeBytes()), new Counters()));
        own.store().bound(spec.storeBytes());
        Random random = new Random(parts.config().seed() ^ spec.name().hashCode());
        return new Host(
                spec.settings(),
                () -> (long) parts.clock().nowMs(),
                random::nextLong,
                own.counters(),
                own.store(),
                new LineLimit(spec.name()));
    }

    /** What becomes of each plug-in, in the order of the file, by names that stay; for people and their programs. */
    public List<Map<String, Object>> report() {
        CompletableFuture<List<Map<String, Object>>> report = new CompletableFuture<>();
        parts.loop()
                .execute(() -> report.complete(
                        intake.plan().all().stream().map(this::report).toList()));
        try {
            return report.get(1, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException busy) {
            return List.of();
        }
    }

    private Map<String, Object> report(Installed plugin) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("name", plugin.spec.name());
        report.put("file", plugin.spec.file().toString());
        report.put("abi", Installed.version());
        report.put("state", plugin.isOff(parts.clock().nowMs()) ? "left out" : "in service");
        report.put("asked", plugin.tally.asked);
        report.put("denied", plugin.tally.denied);
        report.put("failed", plugin.tally.failed);
        report.put("left_out", plugin.tally.leftOut);
        report.put("spent_ms", Math.round(plugin.tally.spentMs * 1000) / 1000.0);
        report.put("waiting", plugin.crew.queued());
        report.put("store_bytes", plugin.host.store().held());
        report.put("last_fault", plugin.tally.lastFault);
        report.put("counters", plugin.host.counters().all());
        return report;
    }

    @Override
    public void onStopping() {
        CountDownLatch idle = new CountDownLatch(1);
        intake.end(idle::countDown);
        try {
            if (!idle.await(LONGEST_THINKING_MS, TimeUnit.MILLISECONDS)) {
                Log.line("stop", "a plug-in still thinks about a session");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void onStopped() {
        // The loop runs no tasks any more: the plan is nobody's.
        intake.plan().retire();
        guard.close();
    }
}
