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
import peppergauge.lab.standin.ServerList;
import peppergauge.lab.standin.ServerRow;
import peppergauge.lab.wire.Speech;

/**
 * A sidecar over all lives of its process, under one name and address. Processes are started and ended on a thread
 * beside the loop's, since that takes ms; all else is for the loop's thread.
 */
final class Seat {

    private final Stage stage;
    private final int index;
    private final int zone;
    private final ExecutorService beside;
    private final InetSocketAddress address = SidecarProcess.freeAddress();
    private final Manner manner;
    private final Set<Integer> cut = new HashSet<>();
    /** Since when the process was told that a server leaves; those that it could not be told yet. */
    private final Map<String, Double> leaving = new HashMap<>();

    private final Set<String> untold = new HashSet<>();
    private volatile SidecarProcess process;
    private boolean ending;
    private boolean up = true;
    private double troubledUntilMs = -1;

    Seat(Stage stage, int index, Launch launch, Daemons daemons, ExecutorService beside) throws IOException {
        this.stage = stage;
        this.index = index;
        this.zone = index % stage.scenario.network().zones().size();
        this.manner = Manner.of(stage.scenario, index, launch, daemons);
        this.beside = beside;
    }

    String name() {
        return "sidecar-" + (index + 1);
    }

    int zone() {
        return zone;
    }

    /** Where its clients connect. */
    InetSocketAddress address() {
        return manner.thrift().orElse(address);
    }

    /** What it speaks with clients and backend servers. */
    Speech speech() {
        return manner.speech();
    }

    /** Not on the loop's thread: starts the process, and waits until it is ready. */
    void open() throws IOException, InterruptedException {
        launch(stage.roster.agent(index).known());
        process.awaitUp();
    }

    /** Either this or {@link #close} comes first: no process is left behind. */
    private synchronized void launch(ServerList known) throws IOException {
        if (!ending) {
            process = new SidecarProcess(
                    manner.launch(),
                    address,
                    SidecarConfig.of(
                            stage.scenario,
                            index,
                            zone,
                            stage.roster.agent(index).address(),
                            known,
                            System.nanoTime()),
                    manner.files());
        }
    }

    /** Not on the loop's thread. */
    synchronized void close() throws IOException {
        ending = true;
        if (process != null) {
            process.close();
        }
    }

    /** CPU time of the present process, ms. */
    double cpuMs() {
        return process.usage().cpuMs();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** What the present process has written. */
    String said() {
        return process.said();
    }

    // ---- What happens to it ----

    void crash(double ms) {
        if (!up) {
            return;
        }
        up = false;
        troubledUntilMs = Double.POSITIVE_INFINITY;
        leaving.clear();
        ServerList known = stage.roster.agent(index).known();
        beside(() -> process.close());
        stage.after(
                ms,
                () -> beside(() -> {
                    launch(known);
                    stage.loop.post(() -> {
                        up = true;
                        troubledUntilMs = stage.nowMs();
                    });
                }));
    }

    void pause(double ms) {
        if (up) {
            troubledUntilMs = Math.max(troubledUntilMs, stage.nowMs() + ms);
            beside(() -> process.pause(true));
            stage.after(ms, () -> beside(() -> process.pause(false)));
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private void beside(Step step) {
        beside.execute(() -> {
            try {
                step.run();
            } catch (IOException failed) {
                stage.loop.post(() -> stage.rules.broken("process", name() + ": " + failed.getMessage()));
            }
        });
    }

    /** Whether it stood still or was down at any time since. */
    boolean troubledSince(double ms) {
        return troubledUntilMs >= ms;
    }

    // ---- The network and discovery ----

    /** Nothing passes to and from this zone for a time. */
    void cut(int from, double ms) {
        if (cut.add(from)) {
            stage.after(ms, () -> {
                cut.remove(from);
                stage.places.forEach(Place::sync);
            });
        }
    }

    /** Whether the network is cut between it and a zone. */
    boolean cutFrom(int other) {
        return other != zone && (cut.contains(other) || cut.contains(zone));
    }

    void told(ServerRow row, boolean unreachable) {
        if (row.state().equals("active")) {
            leaving.remove(row.id());
            untold.remove(row.id());
        } else if (unreachable) {
            untold.add(row.id());
        } else {
            leaving.putIfAbsent(row.id(), stage.nowMs());
        }
    }

    /** Discovery is back, and has told all. */
    void reachable() {
        untold.forEach(id -> leaving.putIfAbsent(id, stage.nowMs()));
        untold.clear();
    }

    /** Since when it knows that a server leaves, ms; -1 if it does not. */
    double leavingMs(String server) {
        return leaving.getOrDefault(server, -1.0);
    }
}
