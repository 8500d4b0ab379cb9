package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.wire.Loop;

/** What all parts of one run share; for the loop's thread. */
final class Stage implements Timers {

    /** Ids of two runs on one machine differ. */
    final String run = Long.toHexString(System.nanoTime());

    final Scenario scenario;
    final Loop loop;
    final SplittableRandom luck;
    final Ways ways;
    final Meters meters;
    final Rules rules;
    final List<Place> places = new ArrayList<>();
    final List<Seat> seats = new ArrayList<>();
    /** Tries by the id that they have at sidecars and backend servers. */
    final Map<String, Try> tries = new HashMap<>();

    Roster roster;
    private long zeroNs = System.nanoTime();

    Stage(Scenario scenario, Loop loop) {
        this.scenario = scenario;
        this.loop = loop;
        luck = new SplittableRandom(scenario.run().seed());
        ways = new Ways(scenario.network(), luck.split());
        meters = new Meters(scenario, this);
        rules = new Rules(this);
    }

    /** From now on time counts from here. */
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
