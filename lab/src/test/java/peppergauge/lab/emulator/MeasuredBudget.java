package peppergauge.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Stands in for the budget of one cold server and never falls it over: keeps the window of the span that the settings
 * name in which it was sent the most beyond what the rule bears. Counted is every request that reaches the server while
 * it is cold: first and further attempts, those that were given up on the way, and those that find no room.
 */
final class MeasuredBudget extends ColdBudget {

    /** From this share of the window on, the sidecars that had been told of the start have broken the rule. */
    private static final double TOLD_SHARE = 2.0 / 3;
    /** Under so many requests a window counts as small, and more is left to chance. */
    private static final double SMALL = 30;

    /**
     * The window with the largest excess of one start of one server.
     *
     * @param sinceStartMs end of the window, after the server's start
     * @param allowed requests of mean work that the settings allow at the window's end: N
     * @param sent requests of mean work in the window, by all sidecars together
     * @param toldShare share of them from sidecars that had been told of the start
     * @param busiestShare share of them from the sidecar that sent the most
     * @param sidecars how many sent
     * @param again share of them from clients that had asked before
     * @param further share of them that were not their session's first attempt
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

    /** What a cold server bears in the span where the settings allow it so many requests of mean work. */
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

    /** The window with the largest excess; null if nothing came while it was cold. */
    Peak worst() {
        return worst;
    }

    /** The same among windows of which over two thirds came from sidecars that had been told; null if none was. */
    Peak worstTold() {
        return worstTold;
    }

    /** The window that used the largest share of its budget; null if nothing came while it was cold. */
    Peak fullest() {
        return fullest;
    }

    /** All that reached the server while it was cold, over all its starts. */
    List<Attempt> attempts() {
        return attempts;
    }
}
