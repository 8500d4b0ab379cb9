package peppergauge.lab.rig;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import peppergauge.lab.fault.ScheduledFault;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.relay.LinkFault;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.wire.Loop;

/** Injects the faults of a schedule at their times and records when they begin and end. */
final class FaultInjector {

    private interface ProcessAction {
        void run() throws IOException, InterruptedException;
    }

    private final Loop loop;
    private final ExecutorService workers;
    private final EventRecorder recorder;
    private final RigTopology topology;
    private final Scenario scenario;
    private int faultCount;

    FaultInjector(Loop loop, ExecutorService workers, EventRecorder recorder, RigTopology topology, Scenario scenario) {
        this.loop = loop;
        this.workers = workers;
        this.recorder = recorder;
        this.topology = topology;
        this.scenario = scenario;
    }

    /** Schedules the faults; must be called on the event loop's thread. Their times count from the given time. */
    void schedule(List<ScheduledFault> faults, long beginNs) {
        for (ScheduledFault fault : faults) {
            faultCount++;
            int number = faultCount;
            long atNs = beginNs + fault.time().toNanos();
            if (fault.what().affectsLinks()) {
                loop.at(atNs, () -> injectIntoLinks(number, fault));
            } else {
                topology.processes().values().stream()
                        .filter(process -> fault.matchesTarget(process.name()))
                        .forEach(process ->
                                loop.at(atNs, () -> runOnWorker(() -> injectIntoProcess(number, fault, process))));
            }
        }
    }

    private void record(EventKind what, String who, int number, ScheduledFault fault) {
        recorder.add(new Event(System.nanoTime(), what, who, "", Integer.toString(number), 0, fault.describe()));
    }

    private void injectIntoLinks(int number, ScheduledFault fault) {
        topology.links().forEach((name, link) -> {
            if (fault.matchesTarget(name)) {
                record(EventKind.FAULT, name, number, fault);
                link.begin(new LinkFault(number, fault.what(), fault.size().orElse(0.0), System.nanoTime()));
                loop.at(System.nanoTime() + fault.length().toNanos(), () -> {
                    link.endFault(number);
                    record(EventKind.HEALED, name, number, fault);
                });
            }
        });
    }

    private void runOnWorker(ProcessAction action) {
        workers.execute(() -> {
            try {
                action.run();
            } catch (IOException failed) {
                recorder.recordNow(EventKind.LOST, "rig", "a fault could not happen: " + failed);
            } catch (InterruptedException interrupted) {
                // The rig is being closed.
                Thread.currentThread().interrupt();
            }
        });
    }

    private void injectIntoProcess(int number, ScheduledFault fault, RigProcess process)
            throws IOException, InterruptedException {
        long backNs = System.nanoTime() + fault.length().toNanos();
        boolean server = RigFile.servers(scenario).contains(process.name());
        record(EventKind.FAULT, process.name(), number, fault);
        switch (fault.what()) {
            case STOP -> {
                process.setPaused(true);
                sleepUntil(backNs);
                process.setPaused(false);
            }
            case LEAVE -> {
                publishState(process.name(), "leaving", 0);
                sleepUntil(backNs - fault.length().toNanos() / 2);
                process.terminate();
                publishState(process.name(), "left", 0);
                sleepUntil(backNs);
                start(process, true);
            }
            case TERMINATE -> {
                process.terminate();
                sleepUntil(backNs);
                start(process, server);
            }
            default -> {
                process.kill();
                process.damageFiles(fault.what());
                if (server && fault.length().compareTo(scenario.discovery().silentNotice()) > 0) {
                    sleepUntil(backNs
                            - fault.length()
                                    .minus(scenario.discovery().silentNotice())
                                    .toNanos());
                    publishState(process.name(), "left", 0);
                }
                sleepUntil(backNs);
                start(process, server);
            }
        }
        record(EventKind.HEALED, process.name(), number, fault);
    }

    private void start(RigProcess process, boolean server) throws IOException, InterruptedException {
        long startedMs = System.currentTimeMillis();
        process.start();
        if (server) {
            Thread.sleep((long) Scenario.toMillis(scenario.discovery().notice()));
            publishState(process.name(), "active", startedMs);
        }
    }

    private void publishState(String server, String word, long startedMs) {
        topology.processes()
                .get(TopologyNames.DISCOVERY)
                .send(() -> topology.discoveryState().update(server, word, startedMs));
    }

    private static void sleepUntil(long atNs) throws InterruptedException {
        Thread.sleep(Math.max(0, (atNs - System.nanoTime()) / 1_000_000));
    }
}
