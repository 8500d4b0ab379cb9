package peppergauge.lab.rig;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import peppergauge.lab.fault.Fault;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.relay.Condition;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.wire.Loop;

/** Lets a script's faults happen at their times, and records when they began and when they were over. */
final class FaultInjector {

    private interface Deed {
        void run() throws IOException, InterruptedException;
    }

    private final Loop loop;
    private final ExecutorService hands;
    private final EventRecorder recorder;
    private final RigTopology cast;
    private final Scenario scenario;
    private int numbered;

    FaultInjector(Loop loop, ExecutorService hands, EventRecorder recorder, RigTopology cast, Scenario scenario) {
        this.loop = loop;
        this.hands = hands;
        this.recorder = recorder;
        this.cast = cast;
        this.scenario = scenario;
    }

    /** On the loop's thread; their times count from the given one. */
    void play(List<Fault> faults, long beginNs) {
        for (Fault fault : faults) {
            numbered++;
            int number = numbered;
            long atNs = beginNs + fault.time().toNanos();
            if (fault.what().ofLinks()) {
                loop.at(atNs, () -> onLinks(number, fault));
            } else {
                cast.members().values().stream()
                        .filter(member -> fault.hits(member.name()))
                        .forEach(member -> loop.at(atNs, () -> beside(() -> onProcess(number, fault, member))));
            }
        }
    }

    private void record(What what, String who, int number, Fault fault) {
        recorder.add(new Event(System.nanoTime(), what, who, "", Integer.toString(number), 0, fault.line()));
    }

    private void onLinks(int number, Fault fault) {
        cast.links().forEach((name, link) -> {
            if (fault.hits(name)) {
                record(What.FAULT, name, number, fault);
                link.begin(new Condition(number, fault.what(), fault.size().orElse(0.0), System.nanoTime()));
                loop.at(System.nanoTime() + fault.length().toNanos(), () -> {
                    link.heal(number);
                    record(What.HEALED, name, number, fault);
                });
            }
        });
    }

    private void beside(Deed deed) {
        hands.execute(() -> {
            try {
                deed.run();
            } catch (IOException failed) {
                recorder.now(What.LOST, "rig", "a fault could not happen: " + failed);
            } catch (InterruptedException ending) {
                // The rig is being closed.
                Thread.currentThread().interrupt();
            }
        });
    }

    private void onProcess(int number, Fault fault, RigProcess member) throws IOException, InterruptedException {
        long backNs = System.nanoTime() + fault.length().toNanos();
        boolean server = RigFile.servers(scenario).contains(member.name());
        record(What.FAULT, member.name(), number, fault);
        switch (fault.what()) {
            case STOP -> {
                member.stand(true);
                sleepUntil(backNs);
                member.stand(false);
            }
            case LEAVE -> {
                told(member.name(), "leaving", 0);
                sleepUntil(backNs - fault.length().toNanos() / 2);
                member.terminate();
                told(member.name(), "left", 0);
                sleepUntil(backNs);
                start(member, true);
            }
            case TERMINATE -> {
                member.terminate();
                sleepUntil(backNs);
                start(member, server);
            }
            default -> {
                member.kill();
                member.disk(fault.what());
                if (server && fault.length().compareTo(scenario.discovery().silentNotice()) > 0) {
                    sleepUntil(backNs
                            - fault.length()
                                    .minus(scenario.discovery().silentNotice())
                                    .toNanos());
                    told(member.name(), "left", 0);
                }
                sleepUntil(backNs);
                start(member, server);
            }
        }
        record(What.HEALED, member.name(), number, fault);
    }

    private void start(RigProcess member, boolean server) throws IOException, InterruptedException {
        long startedMs = System.currentTimeMillis();
        member.start();
        if (server) {
            Thread.sleep((long) Scenario.ms(scenario.discovery().notice()));
            told(member.name(), "active", startedMs);
        }
    }

    private void told(String server, String word, long startedMs) {
        cast.members().get(TopologyNames.DISCOVERY).say(() -> cast.roster().changed(server, word, startedMs));
    }

    private static void sleepUntil(long atNs) throws InterruptedException {
        Thread.sleep(Math.max(0, (atNs - System.nanoTime()) / 1_000_000));
    }
}
