package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * {@code back}: after the last fault of each round is healed there is, within the bound and before the next round, a
 * window in which service is no more than so much less than it was before the first fault of all.
 */
final class Recovery implements Rules.Rule {

    private static final String RULE = "back";
    /** Windows begin this far apart. */
    private static final double STEP_MS = 250;
    /** Under so many sessions a share says nothing. */
    private static final int FEWEST = 20;

    record Session(double atMs, boolean served) {}

    /**
     * What service was and is again.
     *
     * @param usual share of the sessions in time before the first fault; not a number if there were too few to tell
     * @param best share in any window after the last one
     * @param boundMs from the load's start, by which it should be back
     */
    record Service(double usual, double best, double boundMs) {

        boolean known() {
            return !Double.isNaN(usual) && !Double.isNaN(best);
        }

        boolean isBack(Bounds bounds) {
            return known() && best >= usual - bounds.less();
        }
    }

    /** From one round's begin to the next one's, or to the load's end. */
    private record Round(long fromNs, long toNs) {

        boolean holds(Event event) {
            return event.atNs() >= fromNs && event.atNs() < toNs;
        }
    }

    /** Whether the last round can end: all is healed, and service is back or had the time for it. */
    static boolean isOver(History history, Bounds bounds, long nowNs) {
        List<Round> rounds = rounds(history, nowNs);
        if (rounds.isEmpty()
                || history.of(What.HEALED).count() < history.of(What.FAULT).count()) {
            return false;
        }
        Service service = service(history, bounds, rounds.get(rounds.size() - 1));
        return service == null
                || service.isBack(bounds)
                || (nowNs - history.first(What.BEGIN).orElse(0L)) / 1e6 > service.boundMs() + bounds.windowMs();
    }

    /** Without a mark all is one round. */
    private static List<Round> rounds(History history, long endNs) {
        List<Long> begins = history.of(What.ROUND).map(Event::atNs).sorted().toList();
        if (begins.isEmpty()) {
            return List.of(new Round(history.first(What.BEGIN).orElse(0L), endNs));
        }
        List<Round> rounds = new ArrayList<>();
        for (int i = 0; i < begins.size(); i++) {
            rounds.add(new Round(begins.get(i), i + 1 < begins.size() ? begins.get(i + 1) : endNs));
        }
        return rounds;
    }

    /** Null if nothing went wrong in it. */
    private static Service service(History history, Bounds bounds, Round round) {
        long beginNs = history.first(What.BEGIN).orElse(0L);
        double firstMs =
                history.first(What.FAULT).map(at -> (at - beginNs) / 1e6).orElse(Double.NaN);
        double healedMs = history.events().stream()
                .filter(round::holds)
                .filter(Recovery::heals)
                .mapToDouble(event -> event.msSince(beginNs))
                .max()
                .orElse(Double.NaN);
        if (history.of(What.FAULT).noneMatch(round::holds) || Double.isNaN(healedMs)) {
            return null;
        }
        // The usual ones and this round's alone: a run of many rounds is asked four times a second whether it is over.
        List<Session> sessions = sessions(history, beginNs).stream()
                .filter(one -> one.atMs() < firstMs || one.atMs() >= healedMs)
                .toList();
        double lastMs = (round.toNs() - beginNs) / 1e6 - bounds.windowMs();
        double best = Double.NaN;
        for (double at = healedMs; at <= Math.min(lastMs, healedMs + bounds.backMs()); at += STEP_MS) {
            double share = share(sessions, at, at + bounds.windowMs());
            // A window in which too little was asked must not hide those in which enough was.
            best = Double.isNaN(best) || share > best ? share : best;
        }
        return new Service(share(sessions, 0, firstMs), best, healedMs + bounds.backMs());
    }

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        for (Round round : rounds(history, history.first(What.END).orElse(Long.MAX_VALUE))) {
            Service service = service(history, bounds, round);
            if (service != null) {
                check(service, history, bounds, verdict);
            }
        }
    }

    private static void check(Service service, History history, Bounds bounds, Verdict verdict) {
        if (!service.known()) {
            verdict.excused(RULE, "too little was asked to tell");
            return;
        }
        verdict.checked(RULE);
        if (!service.isBack(bounds)) {
            verdict.broken(
                    RULE,
                    history.first(What.BEGIN).orElse(0L) + (long) (1e6 * service.boundMs()),
                    String.format(
                            "service was %.3f before the first fault and is at best %.3f after the last one",
                            service.usual(), service.best()));
        }
    }

    /** What is healed only once a process is back counts from there; the first starts come before the load. */
    private static boolean heals(Event event) {
        return event.what() == What.HEALED || event.what() == What.UP || event.what() == What.CONTINUED;
    }

    static List<Session> sessions(History history, long beginNs) {
        Map<String, Event> ends = new HashMap<>();
        history.of(What.ENDED).forEach(end -> ends.put(end.id(), end));
        return history.of(What.ASKED)
                .map(asked -> {
                    Event end = ends.get(asked.id());
                    return new Session(
                            asked.msSince(beginNs),
                            end != null && end.text().equals("200") && end.msSince(asked.atNs()) <= asked.number());
                })
                .toList();
    }

    static double share(List<Session> sessions, double fromMs, double toMs) {
        List<Session> some = sessions.stream()
                .filter(one -> one.atMs() >= fromMs && one.atMs() < toMs)
                .toList();
        return some.size() < FEWEST
                ? Double.NaN
                : some.stream().filter(Session::served).count() / (double) some.size();
    }
}
