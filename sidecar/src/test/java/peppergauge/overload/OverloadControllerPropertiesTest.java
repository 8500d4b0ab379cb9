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

/** Properties of the controller under overloads and pauses of any shape. */
class OverloadControllerPropertiesTest {

    /** A program with a given load, in virtual time. */
    private static final class Program {

        private final OverloadController<String, String> overload = OverloadControllerTest.overload();
        private final SplittableRandom random = new SplittableRandom(1);
        private double nowMs = 1;
        private int shed;

        /** A round: the select takes so long, then requests are judged over the rest of it. */
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
    void anyOverloadEndsWithinTwoSeconds(
            @ForAll @Size(max = 40) List<@DoubleRange(max = 600) Double> shape,
            @ForAll @DoubleRange(max = 19) double waitMs,
            @ForAll @DoubleRange(min = 0.5, max = 14) double handlingMs) {
        Program program = new Program();
        shape.forEach(ms -> program.round(ms % 7 < 1 ? ms : 0, ms, (int) (ms / 3)));
        for (double endedMs = program.nowMs; program.nowMs < endedMs + 2_000; ) {
            program.round(waitMs, handlingMs, 1);
        }
        assertEquals(1, program.overload.admittedShare());
    }

    @Property(seed = "2")
    void aPauseAloneShedsNothing(
            @ForAll @DoubleRange(max = 5_000) double pauseMs,
            @ForAll boolean inSelect,
            @ForAll @DoubleRange(max = 49) double catchUpMs,
            @ForAll @IntRange(max = 50) int requests) {
        Program program = new Program();
        program.round(5, 5, 2);
        program.round(inSelect ? pauseMs : 5, inSelect ? 5 : pauseMs, 1);
        program.round(0, catchUpMs, requests);
        for (int i = 0; i < 20; i++) {
            program.round(0.1, 5, 2);
        }
        assertTrue(program.shed == 0 && program.overload.admittedShare() == 1);
    }

    @Property(seed = "3")
    void aLastingOverloadIsShedByPriorityWithTrialsOfEach(
            @ForAll @IntRange(min = 60, max = 90) int rounds, @ForAll boolean retry) {
        Program program = new Program();
        for (int i = 0; i < rounds; i++) {
            program.round(0, 150, 30);
        }
        assertTrue(program.shed > 0.8 * 30 * rounds, "shed " + program.shed);
        int[] inARow = new int[3];
        int wrong = 0;
        for (int i = 0; i < 600; i++) {
            AdmissionDecision higher = AdmissionDecision.ADMIT;
            for (int requestClass : new int[] {2, 0, 1}) {
                AdmissionDecision decision = program.decide("z" + i + requestClass, requestClass, retry);
                inARow[requestClass] = decision == AdmissionDecision.SHED ? inARow[requestClass] + 1 : 0;
                assertTrue(
                        inARow[requestClass] < PriorityAdmission.TRIAL_INTERVAL,
                        "shed in a row: " + inARow[requestClass]);
                wrong += higher == AdmissionDecision.SHED && decision == AdmissionDecision.ADMIT ? 1 : 0;
                higher = decision;
            }
        }
        assertTrue(
                wrong <= 2 * (600 / PriorityAdmission.TRIAL_INTERVAL + 1),
                "lower priorities admitted, not by trials: " + wrong);
    }

    @Property(seed = "4")
    void acceptsAtLeastTheMinimumRate(@ForAll @Size(max = 60) List<Boolean> stood) {
        AcceptRateLimiter limiter = new AcceptRateLimiter();
        stood.forEach(limiter::onInterval);
        IntStream.range(0, 20).forEach(i -> limiter.onInterval(true));
        int accepted = 0;
        for (double nowMs = 0, waitMs; nowMs < 3_000; nowMs += waitMs) {
            waitMs = limiter.acquireOrWaitMs(nowMs);
            assertTrue(waitMs >= 0 && waitMs <= AcceptRateLimiter.MAX_WAIT_MS, "wait " + waitMs);
            accepted += waitMs == 0 ? 1 : 0;
        }
        assertTrue(accepted > 50 && accepted < 80, "accepted in 3 s: " + accepted);
        IntStream.range(0, 15).forEach(i -> limiter.onInterval(false));
        assertEquals(AcceptRateLimiter.MAX_RATE_PER_S, limiter.ratePerS());
    }
}
