package peppergauge.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Checks properties of the controller for random overloads and pauses. */
class OverloadControllerPropertiesTest {

    /** A program under a given load, in virtual time. */
    private static final class Program {

        private final OverloadController<String, String> overload = OverloadControllerTest.overload();
        private final SplittableRandom random = new SplittableRandom(1);
        private double nowMs = 1;
        private int shed;

        /** Runs a round: a select, and then requests that are decided on during {@code handlingMs}. */
        void round(double selectMs, double handlingMs, int requests) {
            nowMs += selectMs;
            overload.onSelectReturned(nowMs);
            for (int i = 0; i < requests; i++) {
                nowMs += handlingMs / requests;
                shed += decide("x" + random.nextInt(), random.nextInt(3), random.nextBoolean())
                                == AdmissionDecision.SHED
                        ? 1
                        : 0;
            }
            nowMs += requests == 0 ? handlingMs : 0;
            overload.onRoundEnded(nowMs, true);
        }

        AdmissionDecision decide(String id, int requestClass, boolean retry) {
            return overload.admit(nowMs, new AdmissionRequest(id, requestClass, retry, false, 500));
        }
    }

    @Property(seed = "1")
    void admitsAllRequestsWithinTwoSecondsAfterOverload(
            @ForAll @Size(max = 40) List<@DoubleRange(max = 600) Double> handlingTimesMs,
            @ForAll @DoubleRange(max = 19) double selectMs,
            @ForAll @DoubleRange(min = 0.5, max = 14) double handlingMs) {
        Program program = new Program();
        handlingTimesMs.forEach(ms -> program.round(ms % 7 < 1 ? ms : 0, ms, (int) (ms / 3)));
        for (double endedMs = program.nowMs; program.nowMs < endedMs + 2_000; ) {
            program.round(selectMs, handlingMs, 1);
        }
        assertEquals(1, program.overload.admittedShare());
    }

    @Property(seed = "2")
    void pauseShedsNoRequest(
            @ForAll @DoubleRange(max = 5_000) double pauseMs,
            @ForAll boolean isInSelect,
            @ForAll @DoubleRange(max = 49) double catchUpMs,
            @ForAll @IntRange(max = 50) int requests) {
        Program program = new Program();
        program.round(5, 5, 2);
        program.round(isInSelect ? pauseMs : 5, isInSelect ? 5 : pauseMs, 1);
        program.round(0, catchUpMs, requests);
        for (int i = 0; i < 20; i++) {
            program.round(0.1, 5, 2);
        }
        assertTrue(program.shed == 0 && program.overload.admittedShare() == 1);
    }

    @Property(seed = "3")
    void shedsLowestPriorityFirstExceptForTrials(
            @ForAll @IntRange(min = 60, max = 90) int rounds, @ForAll boolean retry) {
        Program program = new Program();
        for (int i = 0; i < rounds; i++) {
            program.round(0, 150, 30);
        }
        assertTrue(program.shed > 0.8 * 30 * rounds, "expected more than 80% to be shed, was " + program.shed);
        int[] consecutivelyShed = new int[3];
        int lowerAdmitted = 0;
        for (int i = 0; i < 600; i++) {
            AdmissionDecision higher = AdmissionDecision.ADMIT;
            for (int requestClass : new int[] {2, 0, 1}) {
                AdmissionDecision decision = program.decide("z" + i + requestClass, requestClass, retry);
                consecutivelyShed[requestClass] =
                        decision == AdmissionDecision.SHED ? consecutivelyShed[requestClass] + 1 : 0;
                assertTrue(
                        consecutivelyShed[requestClass] < PriorityAdmission.TRIAL_INTERVAL,
                        "consecutively shed: " + consecutivelyShed[requestClass]);
                lowerAdmitted += higher == AdmissionDecision.SHED && decision == AdmissionDecision.ADMIT ? 1 : 0;
                higher = decision;
            }
        }
        assertTrue(
                lowerAdmitted <= 2 * (600 / PriorityAdmission.TRIAL_INTERVAL + 1),
                "lower priorities admitted, not by trials: " + lowerAdmitted);
    }

    @Property(seed = "4")
    void acceptsAtLeastTheMinimumRate(@ForAll @Size(max = 60) List<Boolean> isQueueStanding) {
        AcceptRateLimiter limiter = new AcceptRateLimiter();
        isQueueStanding.forEach(limiter::onInterval);
        IntStream.range(0, 20).forEach(i -> limiter.onInterval(true));
        int accepted = 0;
        for (double nowMs = 0, waitMs; nowMs < 3_000; nowMs += waitMs) {
            waitMs = limiter.acquireOrWaitMs(nowMs);
            assertTrue(waitMs >= 0 && waitMs <= AcceptRateLimiter.MAX_WAIT_MS, "wait out of range: " + waitMs + " ms");
            accepted += waitMs == 0 ? 1 : 0;
        }
        assertTrue(accepted > 50 && accepted < 80, "expected 51 to 79 connections in 3 s, was " + accepted);
        IntStream.range(0, 15).forEach(i -> limiter.onInterval(false));
        assertEquals(AcceptRateLimiter.MAX_RATE_PER_S, limiter.ratePerS());
    }
}
