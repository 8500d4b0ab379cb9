package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.result.RunResult.Broken;

/** Checks the rules that can be observed from outside the sidecars' processes. */
final class RuleChecker {

    /** Tolerance added to each time limit, since messages pass through sockets. */
    static final double SLACK_MS = 50;
    /** Interval at which the loop measures its own lag. */
    private static final double LAG_CHECK_INTERVAL_MS = 10;
    /** Lag above which missing responses are excused. */
    private static final double LAG_LIMIT_MS = 20;
    /** Bounds the result of a run with thousands of violations. */
    private static final int MAX_REPORTED = 20;

    private final RunContext context;
    private final List<Broken> broken = new ArrayList<>();
    private double lateUntilMs = -1;
    private int excusedMissingResponses;

    RuleChecker(RunContext context) {
        this.context = context;
    }

    /**
     * Starts measuring the loop's lag. Called once, at the start of a run. On an overloaded host a response may lie
     * unread here, or may never have been produced.
     */
    void start() {
        double dueMs = context.nowMs() + LAG_CHECK_INTERVAL_MS;
        context.after(LAG_CHECK_INTERVAL_MS, () -> {
            if (context.nowMs() - dueMs > LAG_LIMIT_MS) {
                lateUntilMs = context.nowMs();
            }
            start();
        });
    }

    /** Returns the number of missing responses that are not violations, since the lab itself was late. */
    int excusedMissingResponses() {
        return excusedMissingResponses;
    }

    void broken(String rule, String about) {
        if (broken.size() < MAX_REPORTED) {
            broken.add(new Broken(rule, context.nowMs() / 1e3, about, List.of()));
        }
    }

    List<Broken> all() {
        return broken;
    }

    /** Records that a server has started to execute a request. */
    void executed(LogicalRequest logicalRequest, String id, String server) {
        if (++logicalRequest.executions > 1 && logicalRequest.unsafe) {
            broken(
                    "twice",
                    "request " + id + " of class "
                            + context.scenario
                                    .classes()
                                    .get(logicalRequest.kind)
                                    .name() + " was executed again, by "
                            + server);
        }
    }

    /** Checks an attempt that has arrived at a server. */
    void arrived(ClientAttempt attempt, String id, SidecarInstance sidecar, ServerInstance server) {
        double leavingMs = sidecar.leavingMs(server.id());
        double graceMs = context.scenario.rules().drainGrace().toMillis() + SLACK_MS;
        if (leavingMs >= 0 && context.nowMs() - leavingMs > graceMs) {
            broken(
                    "drain",
                    sidecar.name() + " sent request " + id + " to " + server.id() + ", "
                            + Math.round(context.nowMs() - leavingMs)
                            + " ms after it was told that the server is leaving");
        }
        ClientAttempt.BackendAttempt previous = attempt.lastBackendAttempt;
        if (previous != null && previous.isAwaited()) {
            // The end of the earlier attempt may have been sent first but be read here only after this one.
            context.after(SLACK_MS, () -> {
                if (previous.isAwaited()) {
                    broken(
                            "one-attempt",
                            "request " + id + " of " + sidecar.name() + " had a second attempt in flight, to "
                                    + server.id());
                }
            });
        }
    }

    /** Checks an attempt whose client timed out without a response. */
    void unanswered(ClientAttempt attempt, SidecarInstance sidecar, String how) {
        if (attempt.impatient || sidecar.disturbedSince(attempt.sentMs)) {
            return;
        }
        if (lateUntilMs >= attempt.sentMs) {
            excusedMissingResponses++;
        } else {
            broken("answer", "request " + attempt.id + " to " + sidecar.name() + " had no response: " + how);
        }
    }
}
