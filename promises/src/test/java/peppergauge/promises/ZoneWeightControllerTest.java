package peppergauge.promises;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.promises.control.ControllerState;
import peppergauge.promises.control.ZoneWeightController;
import peppergauge.promises.outcome.OutcomeWindows;

/** Tests {@link ZoneWeightController} on a deterministic simulation. */
public class ZoneWeightControllerTest {

    private static ZoneWeightController controller(ServiceLevelObjective... objectives) {
        ZoneWeightController controller = new ZoneWeightController(SimulatedPlatform.CONFIG);
        controller.setObjectives(List.of(objectives));
        return controller;
    }

    /** Runs a phase of additional load first, so that the estimated capacity exceeds the usual load. */
    private static SimulatedPlatform runAfterPeak(
            ZoneWeightController controller, SimulatedPlatform platform, double peakRequestsPerSecond) {
        platform.run(controller, 1);
        platform.withTenant("rush", "any", peakRequestsPerSecond);
        platform.run(controller, 20);
        platform.withTenant("rush", "any", 0);
        platform.run(controller, 30);
        return platform;
    }

    @Test
    public void zoneThatMissesOneClassIsLeftByTenantsOfThatClassOnly() {
        ZoneWeightController controller =
                controller(SimulatedPlatform.objective("a", "save", 1), SimulatedPlatform.objective("b", "list", 1));
        SimulatedPlatform platform = runAfterPeak(
                controller,
                new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 20).withTenant("b", "list", 20),
                30);
        assertEquals(platform.weights, ZoneWeights.NEUTRAL);
        platform.setMisses("a", "save", "x", 0.4);
        platform.run(controller, 40);
        assertTrue(platform.zoneShares.get("a").get("x") < 0.1, platform.zoneShares.toString());
        assertEquals(platform.weight("b", "x"), 1.0);
        platform.misses.clear();
        platform.run(controller, 60);
        assertEquals(platform.weights, ZoneWeights.NEUTRAL, "expected neutral weights after the zone recovered");
    }

    /** The healthy zone has capacity for one tenant only. The order of the names must not matter. */
    @Test
    public void tenantWithHigherPenaltyGetsLimitedCapacity() {
        for (boolean first : new boolean[] {true, false}) {
            ZoneWeightController controller = controller(
                    SimulatedPlatform.objective("a", "save", first ? 9 : 1),
                    SimulatedPlatform.objective("b", "save", first ? 1 : 9));
            SimulatedPlatform platform = runAfterPeak(
                    controller,
                    new SimulatedPlatform("x", "y").withTenant("a", "save", 20).withTenant("b", "save", 20),
                    12);
            platform.capacity.put("y", 29.0);
            platform.setMisses("a", "save", "x", 0.4);
            platform.setMisses("b", "save", "x", 0.4);
            platform.run(controller, 60);
            double costly = platform.zoneShares.get(first ? "a" : "b").get("x");
            double cheap = platform.zoneShares.get(first ? "b" : "a").get("x");
            assertTrue(costly < 0.2 && cheap > 0.4, "shares in the unhealthy zone: " + costly + " and " + cheap);
        }
    }

    @Test
    public void objectiveMissedInAllZonesCausesNoMigrationAndUsesNoCapacity() {
        ZoneWeightController controller =
                controller(SimulatedPlatform.objective("a", "save", 100), SimulatedPlatform.objective("b", "save", 1));
        SimulatedPlatform platform = runAfterPeak(
                controller,
                new SimulatedPlatform("x", "y").withTenant("a", "save", 20).withTenant("b", "save", 20),
                24);
        platform.setMisses("a", "save", "x", 0.6);
        platform.setMisses("a", "save", "y", 0.3);
        platform.setMisses("b", "save", "x", 0.4);
        platform.run(controller, 60);
        assertEquals(platform.weights.weights().get("a"), null);
        assertTrue(platform.zoneShares.get("b").get("x") < 0.3, platform.zoneShares.toString());
    }

    @Test
    public void threeRequestsPerMinuteCauseNoMigration() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("tiny", "save", 100));
        SimulatedPlatform platform = runAfterPeak(
                controller,
                new SimulatedPlatform("x", "y", "z")
                        .withTenant("tiny", "save", 0.05)
                        .withTenant("b", "list", 40),
                30);
        platform.setMisses("tiny", "save", "x", 1);
        for (int i = 0; i < 120; i++) {
            platform.run(controller, 1);
            assertEquals(platform.weights, ZoneWeights.NEUTRAL);
        }
    }

    /**
     * At the minimum weight the newest tenth of a window often has no request, which must not count as a window without
     * traffic.
     */
    @Test
    public void zoneLeftByLowTrafficTenantStaysUnhealthyUntilFullWindowIsGood() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("seldom", "save", 1));
        SimulatedPlatform platform = runAfterPeak(
                controller,
                new SimulatedPlatform("x", "y")
                        .withTenant("seldom", "save", 0.38)
                        .withTenant("b", "list", 20),
                12);
        platform.setMisses("seldom", "save", "x", 0.4);
        platform.run(controller, 60);
        for (int i = 0; i < 600; i++) {
            assertTrue(
                    platform.weight("seldom", "x") < 0.2,
                    "expected a reduced weight after " + i + " periods but was " + platform.weights);
            platform.run(controller, 1);
        }
        platform.misses.clear();
        platform.run(controller, 300);
        assertEquals(platform.weights, ZoneWeights.NEUTRAL, "expected neutral weights after the zone recovered");
    }

    /**
     * At a start under overload, requests may reach no zone. The shares over no zones then broke the invariant of the
     * plan, and without assertions reduced the weights of all zones.
     */
    @Test
    public void requestsThatReachedNoZoneCauseNoMigration() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("a", "save", 1));
        SimulatedPlatform platform = new SimulatedPlatform("x", "y").withTenant("a", "save", 20);
        for (int i = 1; i < 5; i++) {
            CumulativeOutcomes withoutZone =
                    new CumulativeOutcomes(new TrafficKey("a", "save", TrafficKey.NO_ZONE), 0, 50L * i);
            platform.nowMs += SimulatedPlatform.PERIOD_MS;
            assertEquals(
                    controller.decide(platform.nowMs, List.of(withoutZone), MigrationCost.NONE), ZoneWeights.NEUTRAL);
        }
        for (int i = 0; i < 20; i++) {
            platform.run(controller, 1);
            assertEquals(platform.weights, ZoneWeights.NEUTRAL);
        }
    }

    @Test
    public void changedObjectivesApplyFromTheNextPeriodOn() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("a", "save", 1));
        SimulatedPlatform platform =
                runAfterPeak(controller, new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 20), 20);
        controller.setObjectives(List.of(SimulatedPlatform.objective("a", "save", 1, "y", "z")));
        platform.run(controller, 30);
        assertEquals(
                platform.weight("a", "x"),
                ZoneWeights.MIN_WEIGHT,
                "expected the minimum weight for a zone that is not allowed");
        assertTrue(
                controller.plannedShares().get("a").get("x") < 1e-6,
                controller.plannedShares().toString());
        platform.setMisses("a", "save", "y", 0.4);
        platform.setMisses("a", "save", "z", 0.4);
        platform.run(controller, 30);
        assertEquals(
                platform.weight("a", "x"),
                ZoneWeights.MIN_WEIGHT,
                "expected the minimum weight even if all allowed zones are unhealthy");
        controller.setObjectives(List.of());
        platform.run(controller, 30);
        assertEquals(platform.weights, ZoneWeights.NEUTRAL);
    }

    @DataProvider
    public Object[][] flapping() {
        return new Object[][] {
            // Alternates each period: half of the requests miss the objective, so that the tenant finally stays away.
            {360, 2, 1, 3, 0.5},
            // Two hours of 90 s with misses and 150 s without: the zone stays unhealthy for longer each time.
            {1_440, 48, 18, 12, 1.0},
        };
    }

    /** The tenant leaves the zone a few times, not in each cycle. */
    @Test(dataProvider = "flapping")
    public void flappingZoneCausesFewMigrations(
            int periods, int cycleLength, int cyclePartWithMisses, int maxMigrations, double maxFinalWeight) {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("a", "save", 1));
        SimulatedPlatform platform =
                runAfterPeak(controller, new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 20), 20);
        int migrations = 0;
        double before = 1;
        for (int i = 0; i < periods; i++) {
            platform.setMisses("a", "save", "x", i % cycleLength < cyclePartWithMisses ? 0.5 : 0);
            platform.run(controller, 1);
            double weight = platform.weight("a", "x");
            migrations += before == 1 && weight < 1 ? 1 : 0;
            before = weight;
        }
        assertTrue(
                migrations > 0 && migrations <= maxMigrations,
                "expected 1 to " + maxMigrations + " migrations in " + periods / cycleLength + " cycles but was "
                        + migrations);
        assertTrue(
                before <= maxFinalWeight,
                "expected a final weight of at most " + maxFinalWeight + " but was " + before);
    }

    @Test
    public void zoneLostDuringMigrationIsNoLongerPlannedFor() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("a", "save", 1));
        SimulatedPlatform platform =
                runAfterPeak(controller, new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 30), 45);
        platform.setMisses("a", "save", "x", 0.4);
        platform.run(controller, 6);
        double midway = controller.plannedShares().get("a").get("x");
        assertTrue(midway < 0.33 && midway > 0.06, "expected a share between start and target but was " + midway);
        platform.available.put("y", 0.0);
        platform.run(controller, 40);
        assertTrue(
                controller.plannedShares().get("a").get("y") < 0.02,
                controller.plannedShares().toString());
        assertTrue(platform.zoneShares.get("a").get("z") > 0.6, platform.zoneShares.toString());
    }

    /**
     * After ten minutes without a decision, the stored state must not restore weights, nor add misses to windows in
     * which they did not occur.
     */
    @Test
    public void stateOfTenMinutesAgoRestoresNoWeightsAndAddsNoMisses() {
        ServiceLevelObjective objective = SimulatedPlatform.objective("a", "save", 1);
        ZoneWeightController controller = controller(objective);
        SimulatedPlatform platform =
                runAfterPeak(controller, new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 20), 20);
        platform.setMisses("a", "save", "x", 0.4);
        platform.run(controller, 30);
        ControllerState old = controller.exportState();
        assertTrue(platform.weight("a", "x") < 0.5);
        platform.weights = ZoneWeights.NEUTRAL;
        for (int i = 0; i < 110; i++) {
            platform.runPeriod();
        }
        platform.misses.clear();
        for (int i = 0; i < 10; i++) {
            platform.runPeriod();
        }
        ZoneWeightController restored = controller(objective);
        restored.importState(old, platform.nowMs);
        for (int i = 0; i < 20; i++) {
            platform.run(restored, 1);
            assertEquals(platform.weights, ZoneWeights.NEUTRAL);
        }
        double hourBurnRate =
                restored.burnRates(List.of(objective), platform.nowMs).get(0).get(1);
        double before = controller
                .burnRates(List.of(objective), old.decidedAtMs())
                .get(0)
                .get(1);
        assertTrue(
                hourBurnRate > 0 && hourBurnRate <= before,
                "expected a burn rate of at most " + before + " but was " + hourBurnRate);
        // The same applies to a controller that was not called for ten minutes.
        platform.setMisses("a", "save", "x", 0.4);
        for (int i = 0; i < 120; i++) {
            platform.runPeriod();
        }
        platform.misses.clear();
        platform.run(restored, 1);
        assertTrue(restored.burnRates(List.of(objective), platform.nowMs).get(0).get(0) < 0.1);
    }

    /** If missed requests are retried, a migration that overloads healthy zones would increase the load further. */
    @Test
    public void clientRetriesDoNotOverloadHealthyZones() {
        ZoneWeightController controller =
                controller(SimulatedPlatform.objective("a", "save", 1), SimulatedPlatform.objective("b", "list", 1));
        SimulatedPlatform platform =
                new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 30).withTenant("b", "list", 30);
        List.of("x", "y", "z").forEach(zone -> platform.capacity.put(zone, 26.0));
        platform.retriesPerMiss = 2;
        runAfterPeak(controller, platform, 9);
        platform.setMisses("a", "save", "x", 0.5);
        for (int i = 0; i < 100; i++) {
            platform.run(controller, 1);
            Map<String, Double> b = platform.zoneShares.get("b");
            double y = 30 * (platform.zoneShares.get("a").get("y") + b.get("y"));
            assertTrue(y <= 27, "expected at most 27 requests/s at a capacity of 26 but was " + y);
        }
    }

    /** The state is readable, but its shares and weights are out of range. No decision must fail because of it. */
    @Test
    public void stateWithInvalidValuesIsNotRestored() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("a", "save", 1));
        SimulatedPlatform platform =
                runAfterPeak(controller, new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 20), 20);
        Map<String, Map<String, Double>> zero = Map.of("a", Map.of("x", 0.0, "y", 0.0, "z", 0.0));
        ZoneWeightController restored = controller(SimulatedPlatform.objective("a", "save", 1));
        restored.importState(
                new ControllerState(
                        platform.nowMs,
                        List.of(),
                        zero,
                        Map.of("a", Map.of("x", Double.NaN, "y", 7.0)),
                        Map.of(),
                        Map.of()),
                platform.nowMs);
        platform.run(restored, 10);
        assertEquals(platform.weights, ZoneWeights.NEUTRAL);
        platform.setMisses("a", "save", "x", 0.4);
        platform.run(restored, 40);
        assertTrue(platform.weight("a", "x") < 0.5, "expected a migration as without a stored state");
    }

    /** A service that restarts without its stored counters reports lower ones. Earlier counts are not subtracted. */
    @Test
    public void fallingCountersAreTreatedAsReset() {
        ServiceLevelObjective objective = SimulatedPlatform.objective("a", "save", 1);
        TrafficKey key = new TrafficKey("a", "save", "x");
        OutcomeWindows windows = new OutcomeWindows();
        windows.setObjectives(List.of(objective));
        windows.record(1_000, List.of(new CumulativeOutcomes(key, 1_000, 500)), false);
        windows.record(6_000, List.of(new CumulativeOutcomes(key, 10, 400)), false);
        assertEquals(windows.burnRates(objective, 6_000), List.of(0.0, 0.0));
        windows.record(11_000, List.of(new CumulativeOutcomes(key, 20, 410)), false);
        assertEquals(windows.burnRates(objective, 11_000).get(0), 10, 1e-6);
    }

    @Test
    public void weightsReturnToNeutralInStepsWhenCountersAreStale() {
        ZoneWeightController controller = controller(SimulatedPlatform.objective("a", "save", 1, "y", "z"));
        SimulatedPlatform platform =
                runAfterPeak(controller, new SimulatedPlatform("x", "y", "z").withTenant("a", "save", 20), 20);
        assertEquals(platform.weight("a", "x"), ZoneWeights.MIN_WEIGHT);
        platform.withTenant("a", "save", 0);
        platform.run(controller, 5);
        double before = platform.weight("a", "x");
        int periods = 0;
        while (!platform.weights.equals(ZoneWeights.NEUTRAL)) {
            platform.run(controller, 1);
            assertTrue(platform.weight("a", "x") <= 1.5 * before + 1e-9 || platform.weight("a", "x") == 1);
            before = platform.weight("a", "x");
            assertTrue(periods++ < 12, "expected neutral weights within 12 periods but was " + platform.weights);
        }
        assertTrue(periods > 2, "expected a return in more than 2 periods but was " + periods);
    }
}
