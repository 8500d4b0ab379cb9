package peppergauge.lab.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Rule {@code step}: a reader of fleet tables changes each factor by at most one step per step interval. No factor is
 * below the minimum or above 1. All factors are 1 while the reader has no table and after the lease of its table ended.
 * Only the end of a lease may bring a factor to 1 at once; a table that fades out changes factors in steps like any
 * other change. A restarted process begins with all factors at 1 and moves in steps from there.
 */
final class FactorStepRule implements HistoryRules.Rule {

    private static final String RULE = "step";
    private static final double MIN_FACTOR = 0.05;
    private static final double ROUNDING = 1e-6;
    /**
     * Each observation is compared with all earlier ones within this many step intervals, which also finds many small
     * changes that together exceed the limit.
     */
    private static final int COMPARED_STEP_INTERVALS = 10;

    private static final Map<String, Map<String, Double>> NEUTRAL = Map.of();

    /** The factors in force at some moment of a span; times as of System.nanoTime. */
    private record Observation(long fromNs, long toNs, long leaseLeftMs, Map<String, Map<String, Double>> factors) {}

    /** The state of one reader across restarts of its process. */
    private static final class Reader {

        private final Deque<Observation> observations = new ArrayDeque<>();
        /** Whether the process was terminated and is not up again: either the old or the new one may respond now. */
        private boolean restarting;

        private long terminatedNs;
    }

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        Map<String, Reader> readers = new HashMap<>();
        for (Event event : history.events()) {
            switch (event.what()) {
                case DOWN, TERMINATED -> {
                    Reader reader = readers.computeIfAbsent(event.who(), who -> new Reader());
                    reader.restarting = true;
                    reader.terminatedNs = event.atNs();
                }
                case UP -> {
                    Reader reader = readers.computeIfAbsent(event.who(), who -> new Reader());
                    reader.observations.clear();
                    if (reader.restarting) {
                        reader.observations.add(new Observation(reader.terminatedNs, reader.terminatedNs, 0, NEUTRAL));
                    }
                    reader.restarting = false;
                }
                case STEERED ->
                    checkObservation(
                            history, limits, verdict, event, readers.computeIfAbsent(event.who(), who -> new Reader()));
                default -> {}
            }
        }
    }

    private static void checkObservation(
            History history, RuleLimits limits, Verdict verdict, Event event, Reader reader) {
        verdict.countChecked(RULE);
        ZoneFactorReport report = ZoneFactorReport.read(event.text());
        Observation now = new Observation(
                event.atNs(), event.atNs() + (long) (report.tookMs() * 1e6), report.leftMs(), report.factors());
        if (report.least() < MIN_FACTOR - ROUNDING || report.greatest() > 1 + ROUNDING) {
            verdict.addBroken(RULE, event.atNs(), event.who() + " has a factor out of range: " + report.factors());
        }
        if (report.least() < 1) {
            checkLease(history, limits, verdict, event, now);
        }
        if (reader.restarting) {
            return;
        }
        Observation last = reader.observations.peekLast();
        if (last != null
                && hasFactorBelowOne(last)
                && last.leaseLeftMs() <= spanMs(last, now) + limits.socketSlackMs()) {
            // The lease may have ended in between, and the reader may have moved from there to another table.
            Observation ended = new Observation(last.fromNs(), last.toNs(), 0, NEUTRAL);
            if (report.maxDifference(NEUTRAL) > allowedChange(limits, spanMs(ended, now))) {
                checkChange(history, limits, verdict, event, last, now, report);
            }
            reader.observations.clear();
        }
        reader.observations.removeIf(
                earlier -> spanMs(earlier, now) > COMPARED_STEP_INTERVALS * limits.stepIntervalMs());
        reader.observations.forEach(earlier -> checkChange(history, limits, verdict, event, earlier, now, report));
        reader.observations.add(now);
    }

    private static void checkLease(History history, RuleLimits limits, Verdict verdict, Event event, Observation now) {
        if (event.number() == 0) {
            verdict.addBroken(RULE, event.atNs(), event.who() + " has factors without a table: " + now.factors());
            return;
        }
        double lateMs = -now.leaseLeftMs() - limits.socketSlackMs();
        long leaseEndNs = event.atNs() + now.leaseLeftMs() * 1_000_000;
        if (lateMs <= 0) {
            return;
        }
        if (history.wasPaused(event.who(), leaseEndNs, now.toNs())) {
            verdict.countExcused(RULE, "sidecar was paused");
        } else if (lateMs <= history.delayMs(event.who(), leaseEndNs, now.toNs())) {
            verdict.countExcused(RULE, Verdict.SCHEDULING_DELAY);
        } else {
            verdict.addBroken(
                    RULE,
                    event.atNs(),
                    event.who() + " has factors " + -now.leaseLeftMs() + " ms after the end of its lease: "
                            + now.factors());
        }
    }

    private static void checkChange(
            History history,
            RuleLimits limits,
            Verdict verdict,
            Event event,
            Observation earlier,
            Observation now,
            ZoneFactorReport report) {
        double change = report.maxDifference(earlier.factors());
        double spanMs = spanMs(earlier, now);
        if (change <= allowedChange(limits, spanMs)) {
            return;
        }
        if (change <= allowedChange(limits, spanMs + history.delayMs(event.who(), earlier.fromNs(), now.toNs()))) {
            verdict.countExcused(RULE, Verdict.SCHEDULING_DELAY);
        } else {
            verdict.addBroken(
                    RULE,
                    event.atNs(),
                    String.format(
                            "%s changed a factor by %.3f within %.0f ms: from %s to %s",
                            event.who(), change, spanMs, earlier.factors(), now.factors()));
        }
    }

    private static boolean hasFactorBelowOne(Observation observation) {
        return observation.factors().values().stream()
                .flatMap(zones -> zones.values().stream())
                .anyMatch(factor -> factor < 1);
    }

    private static double spanMs(Observation from, Observation to) {
        return (to.toNs() - from.fromNs()) / 1e6;
    }

    /** Returns the largest allowed change within a span; one step may come right at its begin. */
    private static double allowedChange(RuleLimits limits, double spanMs) {
        return limits.maxStep() * (Math.floor((spanMs + limits.socketSlackMs()) / limits.stepIntervalMs()) + 1)
                + ROUNDING;
    }
}
