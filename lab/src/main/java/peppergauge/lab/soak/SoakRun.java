package peppergauge.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import peppergauge.lab.process.CpuWaitMeter;
import peppergauge.lab.process.ManagedProcess;
import peppergauge.lab.process.ManagedProcess.Signal;
import peppergauge.lab.process.ReadinessProbe;
import peppergauge.lab.process.SidecarProcess;

/** One run: starts everything, lets the steps happen, ends the sidecar, and hands the journal over. */
final class SoakRun implements Closeable {

    static final int DESCRIPTORS = 128;
    private static final int SERVERS = 5;
    /** SIGKILL comes so long after SIGTERM at the soonest: the longest deadline, counted as 3 s, and 0.7 s. */
    private static final long KILL_MS = 3_700;

    private static final long LONGEST_START_MS = 20_000;
    /** The former discovery closes its watches so long after SIGHUP. */
    private static final long RETIRE_MS = 1_500;
    /** After SIGHUP what the new discovery has counts as told so much later. */
    private static final long MOVED_NS = 4_000_000_000L;

    private static final long CANARY_MS = 5;
    private static final double LATE_MS = 10;
    private static final long LOOK_MS = 100;
    private static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"areas":["z0"],"tickMs":5,"overShareWorth":1,"registryMode":"subscribe",
             "limits":{"cancelling":true,"connIdleMs":4000,"connectTimeoutMs":200,"maxRetryAfterMs":1200,
                       "mayProbe":false,"mostTries":3,"parallelTries":false,"retryAfter":true},
             "profiles":[
               {"name":"read","aimMs":300,"deadlineMs":900,"worth":1,"lateWorth":0.3,"effect":"idempotent"},
               {"name":"pay","aimMs":400,"deadlineMs":1400,"worth":9,"lateWorth":0.3,"effect":"at_most_once"}],
             "rules":{"coldShare":0.3,"coldMs":100,"tipMultiple":2.5,"fallMs":3000,"drainGraceMs":%d},
             "tenants":[{"name":"acme","quotaPerS":1000}]}
            """;

    private final SoakFile file;
    private final List<String> command;
    private final Path workplace;
    private final RunRecord journal = new RunRecord();
    private final Path folder = Files.createTempDirectory("soak");
    private final BackendServer.Troubles troubles = new BackendServer.Troubles();
    private final DiscoveryService discovery = new DiscoveryService();
    private final List<BackendServer> servers = new ArrayList<>();
    private final ExecutorService hands = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "step");
        thread.setDaemon(true);
        return thread;
    });
    private final InetSocketAddress listen = SidecarProcess.freeAddress();
    private final ManagedProcess program;
    private final SoakClients clients;
    private final MisbehavingClients badClients;
    /** The address of discovery that the configuration names, and when SIGHUP told it last. */
    private int address;

    private long movedNs;
    private volatile boolean over;

    /** {@code command}: the words that start the sidecar, in {@code workplace}. */
    SoakRun(SoakFile file, List<String> command, Path workplace) throws IOException {
        this.file = file;
        this.command = command;
        this.workplace = workplace;
        for (int i = 0; i < SERVERS; i++) {
            newServer();
        }
        program = new ManagedProcess("sidecar", folder.resolve("sidecar"), Optional.empty());
        clients = new SoakClients(listen, journal, file.run().seed());
        badClients = new MisbehavingClients(listen, journal);
    }

    private void newServer() throws IOException {
        BackendServer server = new BackendServer(
                "s" + servers.size(), journal, troubles, file.run().seed() + servers.size());
        servers.add(server);
        discovery.changed(server.id(), server.address(), "active");
    }

    /** The whole run. */
    RunRecord run() throws IOException, InterruptedException {
        for (SoakStep step : steps(StepKind.TERMINATE_START)) {
            terminateStart(step);
        }
        start();
        DaemonThreads.start("canary", this::canary);
        DaemonThreads.start("looks", this::looks);
        clients.start();
        long beginNs = System.nanoTime();
        for (SoakStep step : file.steps()) {
            if (!step.what().atTheEnd()) {
                at(beginNs, step);
            }
        }
        DaemonThreads.sleepUntil(beginNs + file.run().length().toNanos());
        if (program.isAlive()) {
            terminate();
        }
        over = true;
        clients.stop();
        journal.log = program.said();
        return journal;
    }

    private List<SoakStep> steps(StepKind kind) {
        return file.steps().stream().filter(step -> step.what() == kind).toList();
    }

    // ---- The process ----

    private void start() throws IOException, InterruptedException {
        writeConfiguration(configuration(address));
        journal.startedNs = System.nanoTime();
        program.start(startCommand());
        if (ReadinessProbe.await(listen, "/up", program::isAlive)) {
            journal.readyNs = System.nanoTime();
        }
    }

    private ManagedProcess.Command startCommand() {
        return new ManagedProcess.Command(
                command,
                workplace,
                Map.of("GW_CONFIG", folder.resolve("config.json").toString(), "GW_DISCOVERY", discovery.address(0)));
    }

    private void terminateStart(SoakStep step) throws IOException, InterruptedException {
        writeConfiguration(configuration(address));
        program.start(startCommand());
        Thread.sleep(step.time().toMillis());
        long sentNs = System.nanoTime();
        program.signal(Signal.TERM);
        program.awaitEnd(LONGEST_START_MS);
        journal.terminatedStartMs = (System.nanoTime() - sentNs) / 1e6;
        program.close();
    }

    private void terminate() throws IOException, InterruptedException {
        if (!steps(StepKind.HANG_AT_THE_END).isEmpty()) {
            troubles.hang = true;
        }
        for (SoakStep step : steps(StepKind.CROWD_AT_THE_END)) {
            journal.crowds.add(new RunRecord.Crowd(System.nanoTime(), Long.MAX_VALUE));
            badClients.crowd(step.count());
        }
        program.signal(Signal.TERM);
        journal.terminatedNs = System.nanoTime();
        clients.terminated(
                journal.terminatedNs, !steps(StepKind.REST_AT_THE_END).isEmpty());
        for (SoakStep step : file.steps()) {
            if (step.what().atTheEnd()) {
                at(journal.terminatedNs, step);
            }
        }
        if (!program.awaitEnd(KILL_MS)) {
            journal.killed = true;
            program.signal(Signal.KILL);
            program.awaitEnd(KILL_MS);
        }
        journal.endedNs = System.nanoTime();
    }

    private String configuration(int discoveryAddress) {
        return configuration(discovery.address(discoveryAddress));
    }

    private String configuration(String discoveryAddress) {
        return "{\"name\":\"n\",\"listen\":\"" + listen.getHostString() + ':' + listen.getPort() + "\",\"discovery\":\""
                + discoveryAddress + "\",\"seed\":\""
                + Long.toHexString(file.run().seed())
                + "\",\"limits\":{\"sockets\":" + DESCRIPTORS + "},\"known\":" + discovery.known() + ",\"settings\":"
                + SETTINGS.formatted(file.run().grace().toMillis()) + "}";
    }

    /** In one go: a reader has the former text or this one. */
    private void writeConfiguration(String text) throws IOException {
        Path fresh = Files.writeString(folder.resolve("config.fresh"), text);
        Files.move(fresh, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    // ---- Steps ----

    private void at(long beginNs, SoakStep step) {
        hands.execute(() -> {
            try {
                DaemonThreads.sleepUntil(beginNs + step.time().toNanos());
                if (program.isAlive()) {
                    happen(step);
                }
            } catch (IOException gone) {
                // The process or the run ended first.
            } catch (InterruptedException ending) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void happen(SoakStep step) throws IOException, InterruptedException {
        switch (step.what()) {
            case MOVE_DISCOVERY -> move();
            case SAME_CONFIGURATION, HANG_UP_AT_THE_END -> hangUp();
            case TORN_CONFIGURATION -> torn();
            case WRONG_CONFIGURATION -> wrong();
            case DISCOVERY_SILENT -> discovery.silence(step.length().toMillis());
            case DISCOVERY_SLOW -> during(step, discovery::slow);
            case DISCOVERY_CROWDED -> during(step, discovery::crowded);
            case WATCHES_SILENT -> discovery.breakWatches();
            case RESET_WATCHES -> discovery.resetWatches();
            case DRAIN -> drain();
            case SERVERS_HANG -> during(step, now -> troubles.hang = now);
            case SERVERS_FAIL -> during(step, now -> troubles.fail = now);
            case IDLE_CONNECTIONS_END -> servers.forEach(BackendServer::endIdleConnections);
            case HOLD -> hold(step);
            case CROWD -> {
                long fromNs = System.nanoTime();
                badClients.crowd(step.count());
                Thread.sleep(step.length().toMillis());
                badClients.leave();
                journal.crowds.add(new RunRecord.Crowd(fromNs, System.nanoTime()));
            }
            case HALF_REQUESTS -> badClients.halfRequests(step.count());
            case QUIET -> during(step, clients::quiet);
            case TERMINATE_AGAIN -> program.signal(Signal.TERM);
            default -> {
                // At the end, or before the start.
            }
        }
    }

    /** Something that is so for a step's length. */
    private interface Switch {

        void set(boolean now);
    }

    private static void during(SoakStep step, Switch what) throws InterruptedException {
        what.set(true);
        Thread.sleep(step.length().toMillis());
        what.set(false);
    }

    private synchronized void hangUp() throws IOException {
        program.signal(Signal.HUP);
    }

    private synchronized void move() throws IOException {
        address = 1 - address;
        writeConfiguration(configuration(address));
        program.signal(Signal.HUP);
        movedNs = System.nanoTime();
        int moved = address;
        hands.execute(() -> retire(moved, movedNs));
    }

    private void retire(int moved, long atNs) {
        try {
            DaemonThreads.sleepUntil(atNs + RETIRE_MS * 1_000_000);
            synchronized (this) {
                if (moved == address && atNs == movedNs) {
                    discovery.retireAllBut(moved);
                }
            }
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** The next configuration that is whole puts it right. */
    private synchronized void torn() throws IOException {
        String whole = configuration(address);
        Files.writeString(folder.resolve("config.json"), whole.substring(0, whole.length() / 2));
        program.signal(Signal.HUP);
    }

    private synchronized void wrong() throws IOException {
        writeConfiguration(configuration("nowhere"));
        program.signal(Signal.HUP);
    }

    private synchronized void drain() throws IOException {
        newServer();
        BackendServer server = servers.get(servers.size() - 1 - SERVERS);
        long countsNs = discovery.changed(server.id(), server.address(), "leaving");
        journal.leaving.add(new RunRecord.Leaving(
                server.id(), movedNs == 0 || countsNs - movedNs > MOVED_NS ? countsNs : movedNs + MOVED_NS));
    }

    private void hold(SoakStep step) throws IOException, InterruptedException {
        program.signal(Signal.STOP);
        Thread.sleep(step.length().toMillis());
        program.signal(Signal.CONT);
    }

    // ---- Looks ----

    /** Records by how much a thread that only sleeps was late: the stand-ins were, too. */
    private void canary() throws InterruptedException {
        while (!over) {
            long startNs = System.nanoTime();
            Thread.sleep(CANARY_MS);
            double lateMs = (System.nanoTime() - startNs) / 1e6 - CANARY_MS;
            if (lateMs > LATE_MS) {
                journal.waits.add(new RunRecord.Wait(startNs, System.nanoTime(), lateMs));
            }
        }
    }

    private void looks() throws IOException, InterruptedException {
        CpuWaitMeter waits = new CpuWaitMeter();
        CpuWaitMeter ownWaits = new CpuWaitMeter();
        long lastNs = System.nanoTime();
        while (!over && program.pid().isPresent()) {
            long pid = program.pid().getAsLong();
            // One request passes a client's and a server's thread of the stand-ins, and the sidecar's loop.
            double waitedMs = waits.sinceLastMs(pid)
                    + 2 * ownWaits.longestSinceLastMs(ProcessHandle.current().pid());
            long nowNs = System.nanoTime();
            if (waitedMs > LATE_MS) {
                journal.waits.add(new RunRecord.Wait(lastNs, nowNs, waitedMs));
            }
            lastNs = nowNs;
            try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
                journal.looks.add(new RunRecord.Look(System.nanoTime(), (int) open.count(), program.rssKb()));
            }
            Thread.sleep(LOOK_MS);
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        hands.shutdownNow();
        program.close();
        badClients.leave();
        for (BackendServer server : servers) {
            server.close();
        }
        discovery.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }
}
