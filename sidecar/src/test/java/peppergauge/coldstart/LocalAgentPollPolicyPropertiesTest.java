package peppergauge.coldstart;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Any sequence of calls that fail, in virtual time, and an agent that can be reached again at any moment of it: every
 * call that begins from then on is answered at once, and those in flight are not. What is held against the terms is how
 * long after the return that first call begins.
 */
class LocalAgentPollPolicyPropertiesTest {

    /** What a silent watch missed, or what was to be had in spite of failed calls, counts as told after this. */
    private static final double TOLD_AFTER_MS = 6_000;
    /** So long may a server that counts as leaving be sent to, at the site with the shortest grace. */
    private static final double GRACE_MS = 750;
    /** Of the time-outs: the loop looks at them once in this time. */
    private static final double SELECT_MS = 20;
    /** For the connecting, the answer and its way to the module, at the most. */
    private static final double ANSWERED_MS = 50;
    /** An outage of which the terms tell lasts 8 s; a watch that is found silent in it was so for 2.5 s. */
    private static final double OUTAGE_MS = 8_000;
    /** Between reading its clock and writing, a process may be held up for so long. */
    private static final double HELD_UP_MS = 150;
    /** By which each limit is longer on sockets. */
    private static final double SLACK_MS = 50;

    /** How a call fails. */
    enum End {
        REFUSED,
        NEVER_UP,
        UP_LATE_AND_MUTE,
        MUTE,
        RESET_BEFORE_HEAD,
        RESET_AFTER_HEAD,
        HEAD_ALONE,
        HALF_A_LIST_RESET,
        HALF_A_LIST_AND_MUTE;

        /** Something of the answer came: from its last byte on the call is a silent watch, with a clock of its own. */
        boolean begins() {
            return this == HEAD_ALONE || this == HALF_A_LIST_AND_MUTE;
        }

        boolean ends() {
            return this == REFUSED
                    || this == RESET_BEFORE_HEAD
                    || this == RESET_AFTER_HEAD
                    || this == HALF_A_LIST_RESET;
        }
    }

    /** A call from its begin to the begin of the next; {@code overMs}: its last byte, or its end by the agent. */
    private record Call(End end, double begunMs, double overMs, double nextMs) {}

    /** One caller whose calls fail one after the other. */
    private static final class Caller {

        private final LocalAgentPollPolicy pace;
        private double nowMs;

        /** Its watch was open, and is lost at 0. */
        Caller(long seed, boolean silent) {
            pace = new LocalAgentPollPolicy(seed);
            pace.responseTimeoutMs();
            double silenceMs = pace.idleTimeoutMs();
            pace.onSuccess();
            nowMs = silent ? silenceMs + SELECT_MS + pace.delayAfterTimeoutMs() : pace.delayAfterFailureMs();
        }

        /** {@code part}: of the time that there is, after which what comes of the answer comes. */
        Call call(End end, double part) {
            double begunMs = nowMs;
            double answerMs = pace.responseTimeoutMs();
            double headMs = begunMs + part * answerMs;
            if (end == End.MUTE || end == End.NEVER_UP || end == End.UP_LATE_AND_MUTE) {
                // One wait for connecting and answer, each looked at as often as the loop does.
                nowMs += answerMs + 2 * SELECT_MS + pace.delayAfterTimeoutMs();
                return new Call(end, begunMs, begunMs, nowMs);
            }
            if (end.begins()) {
                nowMs = headMs + pace.idleTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
                return new Call(end, begunMs, headMs, nowMs);
            }
            boolean begun = end == End.RESET_AFTER_HEAD || end == End.HALF_A_LIST_RESET;
            double overMs = headMs + (begun ? part * pace.idleTimeoutMs() : 0);
            nowMs = overMs + pace.delayAfterFailureMs();
            return new Call(end, begunMs, overMs, nowMs);
        }
    }

    /**
     * Also where the watch is reset or ended right before servers drain, and the first call after it is mute or ended
     * at once. While a call was given up before the next was made, with waits that doubled up to 2.9 s, the next one
     * began up to 3.1 s after the return.
     */
    @Property(seed = "11", tries = 5_000)
    void whatTheAgentGetsAtItsReturnIsAskedForWithinTheShortestGrace(
            @ForAll long seed,
            @ForAll boolean silent,
            @ForAll @Size(min = 1, max = 40) List<End> ends,
            @ForAll @DoubleRange(max = 1) double part,
            @ForAll @DoubleRange(max = 1) double back) {
        End first = ends.get(0).begins() ? End.MUTE : ends.get(0);
        double askedMs = new Caller(seed, false).call(first, 0).nextMs() + ANSWERED_MS;
        assertTrue(askedMs <= GRACE_MS, first + ": asked only after " + askedMs + " ms");
        Caller caller = new Caller(seed, silent);
        for (End end : ends) {
            Call call = caller.call(end, part);
            // The return may fall anywhere into the call, or into the pause after it.
            double backMs = call.begunMs() + back * (call.nextMs() - call.begunMs());
            if (backMs > OUTAGE_MS) {
                return;
            }
            if (call.end().begins()) {
                double silentMs = call.nextMs() - call.overMs() + ANSWERED_MS;
                assertTrue(silentMs <= TOLD_AFTER_MS, call + ": asked again " + silentMs + " ms after it fell silent");
            } else {
                // A call that the agent itself ends after its return is asked anew from its end on.
                double fromMs = call.end().ends() ? Math.max(backMs, call.overMs()) : backMs;
                double leftMs = call.nextMs() - fromMs + ANSWERED_MS;
                assertTrue(leftMs <= GRACE_MS, call + ": asked again " + leftMs + " ms after the return");
            }
        }
    }

    /** The process is held up for as long as it may be, between the end of a wait and the call, or the call's news. */
    @Property(seed = "15", tries = 1_000)
    void aProcessThatIsHeldUpAsksWithinTheGraceToo(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 400, max = 2_000) double graceMs,
            @ForAll @Size(min = 1, max = 20) List<End> ends) {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(seed, graceMs);
        for (End end : ends) {
            double waitMs = end.ends()
                    ? pace.delayAfterFailureMs()
                    : pace.responseTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
            double askedMs = waitMs + HELD_UP_MS + ANSWERED_MS;
            assertTrue(askedMs <= graceMs + SLACK_MS, end + ": asked after " + askedMs + " of " + graceMs);
        }
    }

    /** Also after an outage that is longer than all of which the terms tell. */
    @Property(seed = "12", tries = 1_000)
    void whateverBecameOfTheCallsBeforeAChangeIsAskedForInTime(
            @ForAll long seed,
            @ForAll boolean silent,
            @ForAll @Size(max = 8) List<End> before,
            @ForAll @IntRange(max = 60) int mute,
            @ForAll @Size(min = 1, max = 8) List<End> ends,
            @ForAll @DoubleRange(max = 1) double part) {
        Caller caller = new Caller(seed, silent);
        before.forEach(end -> caller.call(end, part));
        for (int made = 0; made < mute; made++) {
            caller.call(End.MUTE, 0);
        }
        for (End end : ends) {
            Call call = caller.call(end, part);
            double leftMs = call.nextMs() - call.begunMs() + ANSWERED_MS;
            // It counts as told then, and for the grace after that a server may still be sent to.
            assertTrue(
                    leftMs <= TOLD_AFTER_MS + GRACE_MS + SLACK_MS,
                    call + ": asked again " + leftMs + " ms after it began");
        }
    }

    /** Only mute calls, for as long as any outage may last: the longest waits there are. */
    @Property(seed = "13", tries = 200)
    void aLongOutageOfMuteCallsEndsInTimeToo(@ForAll long seed) {
        Caller caller = new Caller(seed, true);
        for (int made = 0; made < 200; made++) {
            Call call = caller.call(End.MUTE, 0);
            double leftMs = call.nextMs() - call.begunMs() + ANSWERED_MS;
            assertTrue(leftMs <= TOLD_AFTER_MS, made + " calls: " + call);
        }
    }

    /** An open watch falls silent, and the first call after it is answered by its head or half a list alone. */
    @Property(seed = "14", tries = 1_000)
    void aSilentWatchAndOneAnswerThatFallsSilentTooAreWithinTheGrace(
            @ForAll long seed, @ForAll @DoubleRange(max = 1) double part) {
        Caller caller = new Caller(seed, true);
        double askedMs = caller.call(End.HEAD_ALONE, part).nextMs() + ANSWERED_MS;
        assertTrue(askedMs <= TOLD_AFTER_MS + GRACE_MS + SLACK_MS, "asked only after " + askedMs + " ms");
    }
}
