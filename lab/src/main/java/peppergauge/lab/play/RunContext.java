package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.wire.Loop;

/** The state that all parts of one run share. Confined to the loop's thread. */
final class RunContext implements Timers {

    /** Prefix of request ids, different for each run on one host. */
    final String runId = Long.toHexString(System.nanoTime());

    final Scenario scenario;
    final Loop loop;
    final SplittableRandom random;
    final NetworkModel network;
    final PlayMeters meters;
    final RuleChecker rules;
    final List<ServerSlot> serverSlots = new ArrayList<>();
    final List<SidecarInstance> sidecars = new ArrayList<>();
    /** The clients' attempts, by the request id that sidecars and backend servers see. */
    final Map<String, ClientAttempt> attempts = new HashMap<>();

    DiscoveryFeed discovery;
    private long zeroNs = System.nanoTime();

    RunContext(Scenario scenario, Loop loop) {
        this.scenario = scenario;
        this.loop = loop;
        random = new SplittableRandom(scenario.run().seed());
        network = new NetworkModel(scenario.network(), random.split());
        meters = new PlayMeters(scenario, this);
        rules = new RuleChecker(this);
    }

    /** Sets the start of the run, time 0, to now. */
    void begin() {
        zeroNs = System.nanoTime();
    }

    @Override
    public double nowMs() {
        return (System.nanoTime() - zeroNs) / 1e6;
    }

    @Override
    public void after(double ms, Runnable task) {
        if (ms < Double.POSITIVE_INFINITY) {
            loop.at(System.nanoTime() + Math.round(Math.max(0, ms) * 1e6), task);
        }
    }

    long ns(double ms) {
        return zeroNs + Math.round(ms * 1e6);
    }

    double ms(long ns) {
        return (ns - zeroNs) / 1e6;
    }
}
