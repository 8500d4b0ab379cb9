package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Records the work sent to one cold server, and never overloads it: keeps the window, of the length that the settings
 * specify, in which the work exceeded the rule's budget the most. Every request that reaches the server while it is
 * cold is counted: first attempts, retries, aborted attempts, and requests that find the queue full.
 */
final class ColdServerBudgetRecorder extends ColdServerBudget {

    /** Minimum share of the window from sidecars that knew of the start for these to have violated the rule. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;
    /** Below this number of allowed requests a window is small and has more tolerance for random variation. */
    private static final double SMALL_BUDGET_REQUESTS = 30;

    /**
     * A window of requests at one server after one start.
     *
     * @param sinceStartMs end of the window, after the server's start
     * @param allowed number N of requests of mean work that the settings allow at the window's end
     * @param sent requests in the window from all sidecars, in units of mean work
     * @param informedShare share of them from sidecars that knew of the start
     * @param busiestShare share of them from the sidecar that sent the most
     * @param sidecars number of sidecars that sent requests
     * @param clientRetry share of them that are retries of clients
     * @param retry share of them that are retries of sidecars
     */
    record RequestWindow(
            String server,
            double atMs,
            double sinceStartMs,
            double allowed,
            double sent,
            double informedShare,
            double busiestShare,
            int sidecars,
            double clientRetry,
            double retry) {

        double budget() {
            return ColdServerBudgetRecorder.budget(allowed);
        }

        double excess() {
            return sent - budget();
        }

        double used() {
            return sent / budget();
        }

        boolean informed() {
            return informedShare > MIN_INFORMED_SHARE;
        }
    }

    private record SentWork(
            long tick, double requests, boolean informed, int sidecar, boolean clientRetry, boolean retry) {}

    private final BackendServer server;
    private final EmulationContext context;
    private final double multiple;
    private final double spanMs;
    private final double meanWorkMs;
    private final ArrayDeque<SentWork> window = new ArrayDeque<>();
    private double sum;
    private final List<BackendAttempt> attempts = new ArrayList<>();
    private RequestWindow worst;
    private RequestWindow worstInformed;
    private RequestWindow fullest;

    ColdServerBudgetRecorder(EmulationContext context, BackendServer server, double meanWorkMs) {
        super(context.settings.fallMultiple, context.settings.fallMs);
        this.server = server;
        this.context = context;
        this.meanWorkMs = meanWorkMs;
        multiple = context.settings.fallMultiple;
        spanMs = context.settings.fallMs;
    }

    /** Budget of a cold server, with tolerance, for a number of allowed requests of mean work. */
    static double budget(double allowed) {
        return allowed < SMALL_BUDGET_REQUESTS
                ? allowed + 3 * Math.sqrt(allowed) + 3
                : allowed + 2 * Math.sqrt(allowed) + 2;
    }

    @Override
    void start() {
        super.start();
        window.clear();
        sum = 0;
    }

    @Override
    boolean sent(long now, ServerJob job, boolean informed, double capacity) {
        while (!window.isEmpty() && now - window.peekFirst().tick() > VirtualTime.ticks(spanMs)) {
            sum -= window.pollFirst().requests();
        }
        double work = job.request.workMs / meanWorkMs;
        window.addLast(
                new SentWork(now, work, informed, job.attempt.sidecar(), job.request.tries > 1, job.attempt.retry()));
        sum += work;
        attempts.add(job.attempt);
        double allowed = multiple * capacity * spanMs / meanWorkMs;
        double excess = sum - budget(allowed);
        if (worst == null || excess > worst.excess()) {
            worst = currentWindow(allowed);
        }
        if (fullest == null || sum / budget(allowed) > fullest.used()) {
            fullest = currentWindow(allowed);
        }
        if (worstInformed == null || excess > worstInformed.excess()) {
            RequestWindow current = currentWindow(allowed);
            worstInformed = current.informed() ? current : worstInformed;
        }
        return false;
    }

    private RequestWindow currentWindow(double allowed) {
        Map<Integer, Double> bySidecar = new HashMap<>();
        for (SentWork sent : window) {
            bySidecar.merge(sent.sidecar(), sent.requests(), Double::sum);
        }
        double busiest =
                bySidecar.values().stream().mapToDouble(each -> each).max().orElse(0);
        return new RequestWindow(
                server.id(),
                context.time.elapsedMs(),
                context.time.nowMs() - server.startedMs(),
                allowed,
                sum,
                share(SentWork::informed),
                busiest / sum,
                bySidecar.size(),
                share(SentWork::clientRetry),
                share(SentWork::retry));
    }

    private double share(Predicate<SentWork> which) {
        return window.stream().filter(which).mapToDouble(SentWork::requests).sum() / sum;
    }

    /** The window with the largest excess; null if the server received nothing while cold. */
    RequestWindow worst() {
        return worst;
    }

    /** The same among windows with over two thirds from sidecars that knew of the start; null if there is none. */
    RequestWindow worstInformed() {
        return worstInformed;
    }

    /** The window that used the largest share of its budget; null if the server received nothing while cold. */
    RequestWindow fullest() {
        return fullest;
    }

    /** All attempts that reached the server while cold, over all its starts. */
    List<BackendAttempt> attempts() {
        return attempts;
    }
}
