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
final class MeasuredBudget extends ColdBudget {

    /** Minimum share of the window from sidecars that knew of the start for these to have violated the rule. */
    private static final double TOLD_SHARE = 2.0 / 3;
    /** Below this number of allowed requests a window is small and has more tolerance for random variation. */
    private static final double SMALL = 30;

    /**
     * A window of requests at one server after one start.
     *
     * @param sinceStartMs end of the window, after the server's start
     * @param allowed number N of requests of mean work that the settings allow at the window's end
     * @param sent requests in the window from all sidecars, in units of mean work
     * @param toldShare share of them from sidecars that knew of the start
     * @param busiestShare share of them from the sidecar that sent the most
     * @param sidecars number of sidecars that sent requests
     * @param again share of them that are retries of clients
     * @param further share of them that are retries of sidecars
     */
    record Peak(
            String server,
            double atMs,
            double sinceStartMs,
            double allowed,
            double sent,
            double toldShare,
            double busiestShare,
            int sidecars,
            double again,
            double further) {

        double budget() {
            return MeasuredBudget.budget(allowed);
        }

        double excess() {
            return sent - budget();
        }

        double used() {
            return sent / budget();
        }

        boolean told() {
            return toldShare > TOLD_SHARE;
        }
    }

    private record Sent(long tick, double requests, boolean told, int sidecar, boolean again, boolean further) {}

    private final BackendServer server;
    private final World world;
    private final double multiple;
    private final double spanMs;
    private final double meanWorkMs;
    private final ArrayDeque<Sent> window = new ArrayDeque<>();
    private double sum;
    private final List<Attempt> attempts = new ArrayList<>();
    private Peak worst;
    private Peak worstTold;
    private Peak fullest;

    MeasuredBudget(World world, BackendServer server, double meanWorkMs) {
        super(world.figures.fallMultiple, world.figures.fallMs);
        this.server = server;
        this.world = world;
        this.meanWorkMs = meanWorkMs;
        multiple = world.figures.fallMultiple;
        spanMs = world.figures.fallMs;
    }

    /** Budget of a cold server, with tolerance, for a number of allowed requests of mean work. */
    static double budget(double allowed) {
        return allowed < SMALL ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }

    @Override
    void start() {
        super.start();
        window.clear();
        sum = 0;
    }

    @Override
    boolean sent(long now, Job job, boolean told, double capacity) {
        while (!window.isEmpty() && now - window.peekFirst().tick() > VirtualTime.ticks(spanMs)) {
            sum -= window.pollFirst().requests();
        }
        double work = job.request.workMs / meanWorkMs;
        window.addLast(new Sent(now, work, told, job.attempt.sidecar(), job.request.tries > 1, job.attempt.further()));
        sum += work;
        attempts.add(job.attempt);
        double allowed = multiple * capacity * spanMs / meanWorkMs;
        double excess = sum - budget(allowed);
        if (worst == null || excess > worst.excess()) {
            worst = peak(allowed);
        }
        if (fullest == null || sum / budget(allowed) > fullest.used()) {
            fullest = peak(allowed);
        }
        if (worstTold == null || excess > worstTold.excess()) {
            Peak peak = peak(allowed);
            worstTold = peak.told() ? peak : worstTold;
        }
        return false;
    }

    private Peak peak(double allowed) {
        Map<Integer, Double> bySidecar = new HashMap<>();
        for (Sent sent : window) {
            bySidecar.merge(sent.sidecar(), sent.requests(), Double::sum);
        }
        double busiest =
                bySidecar.values().stream().mapToDouble(each -> each).max().orElse(0);
        return new Peak(
                server.id(),
                world.time.elapsedMs(),
                world.time.nowMs() - server.startedMs(),
                allowed,
                sum,
                share(Sent::told),
                busiest / sum,
                bySidecar.size(),
                share(Sent::again),
                share(Sent::further));
    }

    private double share(Predicate<Sent> which) {
        return window.stream().filter(which).mapToDouble(Sent::requests).sum() / sum;
    }

    /** The window with the largest excess; null if the server received nothing while cold. */
    Peak worst() {
        return worst;
    }

    /** The same among windows with over two thirds from sidecars that knew of the start; null if there is none. */
    Peak worstTold() {
        return worstTold;
    }

    /** The window that used the largest share of its budget; null if the server received nothing while cold. */
    Peak fullest() {
        return fullest;
    }

    /** All attempts that reached the server while cold, over all its starts. */
    List<Attempt> attempts() {
        return attempts;
    }
}
