package peppergauge.lab.history;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Rule {@code answer}: a request gets exactly one final response, within its deadline plus the slack. A request is
 * excused if its client's link was faulty, or if its sidecar was paused, down or shutting down. Scheduling delays that
 * the machine imposed on the lab or on the sidecar extend the limit.
 */
final class ResponseDeadlineRule implements HistoryRules.Rule {

    private static final String RULE = "answer";
    /** A request that is sent this short a time before SIGTERM may arrive after the signal. */
    private static final long SIGTERM_MARGIN_NS = 50_000_000;
    /** Outcomes, as in {@code load.RequestOutcome}, of requests that no sidecar accepted. */
    private static final Set<String> NOT_ACCEPTED = Set.of("refused", "unsent");
    /** Outcome, as in {@code load.RequestOutcome}, of a request whose connection was closed first. */
    private static final String CLOSED = "closed";
    /** Outcomes that are never correct, whatever the time. */
    private static final Set<String> INVALID_RESPONSES = Set.of("wrong", "400", "404");
    /** A sidecar may close a connection that was idle for this long, even while a request is on its way. */
    private static final long IDLE_MS = 2_000;
    /**
     * Highest accepted share of requests that cross the close of their connection, which a sidecar may close between
     * two requests.
     */
    private static final double MAX_CROSSED_SHARE = 0.01;
    /** Number of requests that may cross a close, however few requests there are. */
    private static final int MAX_CROSSED_IN_SHORT_RUN = 3;

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        Map<String, Event> ends = new HashMap<>();
        history.of(EventKind.ENDED).forEach(end -> {
            if (ends.putIfAbsent(end.id(), end) != null) {
                verdict.addBroken(RULE, end.atNs(), "request " + end.id() + " ended twice");
            }
        });
        Set<String> sent = history.of(EventKind.SENT).map(Event::id).collect(Collectors.toSet());
        RelayTimes relayTimes = new RelayTimes(history);
        Set<String> crossed = new HashSet<>();
        history.of(EventKind.ASKED).forEach(asked -> {
            verdict.countChecked(RULE);
            Event end = ends.get(asked.id());
            String violation = violation(history, limits, asked, end, verdict);
            String excuse = violation.isEmpty() ? "" : relayTimes.excuse(asked, end, limitMs(limits, asked));
            if (!excuse.isEmpty()) {
                verdict.countExcused(RULE, excuse);
            } else if (violation.equals(CLOSED) && relayTimes.idleMs(asked.id()) >= IDLE_MS) {
                verdict.countExcused(RULE, "request crossed the close of an idle connection");
            } else if (violation.equals(CLOSED) && !sent.contains(asked.id())) {
                crossed.add(asked.id());
                verdict.countExcused(RULE, "request crossed a connection close before any attempt was sent");
            } else if (!violation.isEmpty()) {
                verdict.addBroken(
                        RULE, asked.atNs(), "request " + asked.id() + " to " + asked.whom() + ": " + violation);
            }
        });
        if (crossed.size() > Math.max(MAX_CROSSED_IN_SHORT_RUN, MAX_CROSSED_SHARE * ends.size())) {
            verdict.addBroken(RULE, 0, crossed.size() + " requests lost their connection before any attempt was sent");
        }
    }

    private static double limitMs(RuleLimits limits, Event asked) {
        return asked.number() + limits.socketSlackMs() + limits.responseSlackMs();
    }

    /**
     * Returns how long the client waited, ms. A client may have given up while its sidecar had no CPU time in which it
     * could respond.
     */
    private static double clientWaitMs(Event asked, Event end) {
        return end == null ? Double.POSITIVE_INFINITY : end.msSince(asked.atNs());
    }

    /** Returns what is wrong with the request's outcome; empty if nothing is, or if it is excused. */
    private static String violation(History history, RuleLimits limits, Event asked, Event end, Verdict verdict) {
        if (end != null && NOT_ACCEPTED.contains(end.text())) {
            return "";
        }
        if (end != null && INVALID_RESPONSES.contains(end.text())) {
            return "invalid response: " + end.text();
        }
        boolean answered = end != null && end.hasStatus();
        double limitMs = limitMs(limits, asked);
        double tookMs = answered ? end.msSince(asked.atNs()) : Double.POSITIVE_INFINITY;
        if (tookMs <= limitMs) {
            return "";
        }
        String excuse = excuse(history, asked, end, tookMs, limitMs);
        if (!excuse.isEmpty()) {
            verdict.countExcused(RULE, excuse);
            return "";
        }
        return answered ? "response after " + Math.round(tookMs) + " ms" : end == null ? "no outcome" : end.text();
    }

    /** Returns the recorded cause of a late or missing response; empty if there is none. */
    private static String excuse(History history, Event asked, Event end, double tookMs, double limitMs) {
        String sidecar = asked.whom();
        long fromNs = asked.atNs();
        long untilNs = end == null ? Long.MAX_VALUE : end.atNs();
        if (history.wasTerminating(sidecar, fromNs + SIGTERM_MARGIN_NS)) {
            return "sidecar had received SIGTERM";
        }
        if (history.wasDown(sidecar, fromNs, untilNs)) {
            return "sidecar was down";
        }
        if (history.wasPaused(sidecar, fromNs, untilNs)) {
            return "sidecar was paused";
        }
        if (history.hadFault("clients>" + sidecar, fromNs, untilNs)) {
            return "client link was faulty";
        }
        if (tookMs <= limitMs + history.labDelayMs(fromNs, untilNs)) {
            return Verdict.SCHEDULING_DELAY;
        }
        double waitMs = clientWaitMs(asked, end);
        boolean cpuStarved = waitMs > limitMs && waitMs <= limitMs + history.cpuWaitMs(sidecar, fromNs, untilNs);
        return cpuStarved ? "sidecar got no CPU time" : "";
    }
}
