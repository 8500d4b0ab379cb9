package peppergauge.lab.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * {@code step}: of what is in force at a reader of fleet tables no factor moves by more than a step for each step's
 * time; none is under the floor or over 1; and once the lease is over, or where there never was a table, all are 1.
 * Only the lease's end may bring a factor to 1 at once; what a fade does comes in steps as all else. A new process
 * begins with none, and walks from there.
 */
final class Steps implements Rules.Rule {

    private static final String RULE = "step";
    private static final double FLOOR = 0.05;
    private static final double ROUNDING = 1e-6;
    /** A look is held against all before it within so many steps' time, so that many small ones are found too. */
    private static final int STEPS_BACK = 10;

    private static final Map<String, Map<String, Double>> NONE = Map.of();

    /** What was in force at some moment of a span; System.nanoTime. */
    private record Point(long fromNs, long toNs, long leftMs, Map<String, Map<String, Double>> factors) {}

    /** One reader over its processes' lives. */
    private static final class Life {

        private final Deque<Point> points = new ArrayDeque<>();
        /** Whether it was ended, and is not back: what answers now may be either life. */
        private boolean between;

        private long endedNs;
    }

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        Map<String, Life> lives = new HashMap<>();
        for (Event event : history.events()) {
            switch (event.what()) {
                case DOWN, TERMINATED -> {
                    Life life = lives.computeIfAbsent(event.who(), who -> new Life());
                    life.between = true;
                    life.endedNs = event.atNs();
                }
                case UP -> {
                    Life life = lives.computeIfAbsent(event.who(), who -> new Life());
                    life.points.clear();
                    if (life.between) {
                        life.points.add(new Point(life.endedNs, life.endedNs, 0, NONE));
                    }
                    life.between = false;
                }
                case STEERED ->
                    look(history, bounds, verdict, event, lives.computeIfAbsent(event.who(), who -> new Life()));
                default -> {}
            }
        }
    }

    private static void look(History history, Bounds bounds, Verdict verdict, Event event, Life life) {
        verdict.checked(RULE);
        Leaning leaning = Leaning.read(event.text());
        Point now = new Point(
                event.atNs(), event.atNs() + (long) (leaning.tookMs() * 1e6), leaning.leftMs(), leaning.factors());
        if (leaning.least() < FLOOR - ROUNDING || leaning.greatest() > 1 + ROUNDING) {
            verdict.broken(RULE, event.atNs(), event.who() + " has a factor out of range: " + leaning.factors());
        }
        if (leaning.least() < 1) {
            withoutTable(history, bounds, verdict, event, now);
        }
        if (life.between) {
            return;
        }
        Point last = life.points.peekLast();
        if (last != null && leans(last) && last.leftMs() <= spanMs(last, now) + bounds.slackMs()) {
            // Its lease may have ended since, and it may have walked to another table from there.
            Point ended = new Point(last.fromNs(), last.toNs(), 0, NONE);
            if (leaning.farFrom(NONE) > allowed(bounds, spanMs(ended, now))) {
                moved(history, bounds, verdict, event, last, now, leaning);
            }
            life.points.clear();
        }
        life.points.removeIf(point -> spanMs(point, now) > STEPS_BACK * bounds.stepEveryMs());
        life.points.forEach(point -> moved(history, bounds, verdict, event, point, now, leaning));
        life.points.add(now);
    }

    private static void withoutTable(History history, Bounds bounds, Verdict verdict, Event event, Point now) {
        if (event.number() == 0) {
            verdict.broken(RULE, event.atNs(), event.who() + " leans without a table: " + now.factors());
            return;
        }
        double lateMs = -now.leftMs() - bounds.slackMs();
        long overNs = event.atNs() + now.leftMs() * 1_000_000;
        if (lateMs <= 0) {
            return;
        }
        if (history.stood(event.who(), overNs, now.toNs())) {
            verdict.excused(RULE, "its sidecar stood still");
        } else if (lateMs <= history.lateMs(event.who(), overNs, now.toNs())) {
            verdict.excused(RULE, "the machine let all wait");
        } else {
            verdict.broken(
                    RULE,
                    event.atNs(),
                    event.who() + " leans " + -now.leftMs() + " ms after its lease: " + now.factors());
        }
    }

    private static void moved(
            History history, Bounds bounds, Verdict verdict, Event event, Point before, Point now, Leaning leaning) {
        double moved = leaning.farFrom(before.factors());
        if (moved <= allowed(bounds, spanMs(before, now))) {
            return;
        }
        if (moved <= allowed(bounds, spanMs(before, now) + history.lateMs(event.who(), before.fromNs(), now.toNs()))) {
            verdict.excused(RULE, "the machine let all wait");
        } else {
            verdict.broken(
                    RULE,
                    event.atNs(),
                    String.format(
                            "%s moved a factor by %.3f in %.0f ms: %s, then %s",
                            event.who(), moved, spanMs(before, now), before.factors(), now.factors()));
        }
    }

    private static boolean leans(Point point) {
        return point.factors().values().stream()
                .flatMap(zones -> zones.values().stream())
                .anyMatch(each -> each < 1);
    }

    private static double spanMs(Point from, Point to) {
        return (to.toNs() - from.fromNs()) / 1e6;
    }

    /** One may come right at the beginning. */
    private static double allowed(Bounds bounds, double spanMs) {
        return bounds.step() * (Math.floor((spanMs + bounds.slackMs()) / bounds.stepEveryMs()) + 1) + ROUNDING;
    }
}
