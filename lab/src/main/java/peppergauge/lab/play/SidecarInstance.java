package peppergauge.lab.play;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import peppergauge.lab.process.SidecarProcess;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.standin.EndpointListMessage;
import peppergauge.lab.wire.MessageCodec;

/**
 * One sidecar across restarts of its process, under one name and address. Processes are started and stopped on
 * background threads, since that takes milliseconds; all other methods are for the loop's thread only.
 */
final class SidecarInstance {

    private final RunContext context;
    private final int index;
    private final int zone;
    private final ExecutorService background;
    private final InetSocketAddress address = SidecarProcess.freeAddress();
    private final SidecarLaunchPlan launchPlan;
    private final Set<Integer> cutZones = new HashSet<>();
    /** Time at which the process was told that a server is leaving, in ms, by server id. */
    private final Map<String, Double> leavingSinceMs = new HashMap<>();
    /** Servers that are leaving of which the process could not be told yet. */
    private final Set<String> pendingLeaving = new HashSet<>();

    private volatile SidecarProcess process;
    private boolean closed;
    private boolean up = true;
    private double disturbedUntilMs = -1;

    SidecarInstance(RunContext context, int index, Launch launch, DaemonLauncher daemons, ExecutorService background)
            throws IOException {
        this.context = context;
        this.index = index;
        this.zone = index % context.scenario.network().zones().size();
        this.launchPlan = SidecarLaunchPlan.of(context.scenario, index, launch, daemons);
        this.background = background;
    }

    String name() {
        return "sidecar-" + (index + 1);
    }

    int zone() {
        return zone;
    }

    /** Returns the address to which clients connect. */
    InetSocketAddress address() {
        return launchPlan.thrift().orElse(address);
    }

    /** Returns a codec for one new connection with a client or a backend server. */
    MessageCodec codec() {
        return launchPlan.codec();
    }

    /** Starts the process and waits until it is ready. Not for the loop's thread. */
    void open() throws IOException, InterruptedException {
        launch(context.discovery.standIn(index).known());
        process.awaitUp();
    }

    /** Starts the process, unless {@link #close} came first; so no process outlives the run. */
    private synchronized void launch(EndpointListMessage known) throws IOException {
        if (!closed) {
            process = new SidecarProcess(
                    launchPlan.launch(),
                    address,
                    SidecarConfig.of(
                            context.scenario,
                            index,
                            zone,
                            context.discovery.standIn(index).address(),
                            known,
                            System.nanoTime()),
                    launchPlan.files());
        }
    }

    /** Stops the process for good. Not for the loop's thread. */
    synchronized void close() throws IOException {
        closed = true;
        if (process != null) {
            process.close();
        }
    }

    /** Returns the CPU time of the current process, in ms. */
    double cpuMs() {
        return process.usage().cpuMs();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the output of the current process. */
    String log() {
        return process.said();
    }

    // ---- Incidents ----

    void crash(double ms) {
        if (!up) {
            return;
        }
        up = false;
        disturbedUntilMs = Double.POSITIVE_INFINITY;
        leavingSinceMs.clear();
        EndpointListMessage known = context.discovery.standIn(index).known();
        runInBackground(() -> process.close());
        context.after(
                ms,
                () -> runInBackground(() -> {
                    launch(known);
                    context.loop.post(() -> {
                        up = true;
                        disturbedUntilMs = context.nowMs();
                    });
                }));
    }

    void pause(double ms) {
        if (up) {
            disturbedUntilMs = Math.max(disturbedUntilMs, context.nowMs() + ms);
            runInBackground(() -> process.pause(true));
            context.after(ms, () -> runInBackground(() -> process.pause(false)));
        }
    }

    private interface ProcessStep {
        void run() throws IOException;
    }

    private void runInBackground(ProcessStep step) {
        background.execute(() -> {
            try {
                step.run();
            } catch (IOException failed) {
                context.loop.post(() -> context.rules.broken("process", name() + ": " + failed.getMessage()));
            }
        });
    }

    /** Returns whether the process was paused or down at any time since then. */
    boolean disturbedSince(double ms) {
        return disturbedUntilMs >= ms;
    }

    // ---- The network and discovery ----

    /** Cuts the network to a zone for a time. */
    void cut(int from, double ms) {
        if (cutZones.add(from)) {
            context.after(ms, () -> {
                cutZones.remove(from);
                context.serverSlots.forEach(ServerSlot::sync);
            });
        }
    }

    /** Returns whether the network between the sidecar and a zone is cut. */
    boolean isCutFrom(int other) {
        return other != zone && (cutZones.contains(other) || cutZones.contains(zone));
    }

    void onUpdate(EndpointEntry row, boolean unreachable) {
        if (row.state().equals("active")) {
            leavingSinceMs.remove(row.id());
            pendingLeaving.remove(row.id());
        } else if (unreachable) {
            pendingLeaving.add(row.id());
        } else {
            leavingSinceMs.putIfAbsent(row.id(), context.nowMs());
        }
    }

    /** Discovery has recovered and delivered the whole list. */
    void onDiscoveryRecovered() {
        pendingLeaving.forEach(id -> leavingSinceMs.putIfAbsent(id, context.nowMs()));
        pendingLeaving.clear();
    }

    /** Returns the time at which the sidecar was told that a server is leaving, in ms, or -1. */
    double leavingMs(String server) {
        return leavingSinceMs.getOrDefault(server, -1.0);
    }
}
