package peppergauge.lab.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * {@code back}: after the last fault is healed there is, within the bound, a window in which service is no more than
 * so much less than it was before the first one.
 */
final class Recovery implements Rules.Rule {

    private static final String RULE = "back";
    /** Windows begin this far apart. */
    private static final double STEP_MS = 250;
    /** Under so many sessions a share says nothing. */
    private static final int FEWEST = 20;

    private record Session(double atMs, boolean served) { }

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        long beginNs = history.first(What.BEGIN).orElse(0L);
        double firstMs = history.first(What.FAULT).map(at -> (at - beginNs) / 1e6).orElse(Double.NaN);
        double healedMs = history.events().stream().filter(Recovery::heals)
                .mapToDouble(event -> event.msSince(beginNs)).max().orElse(Double.NaN);
        if (Double.isNaN(firstMs) || Double.isNaN(healedMs)) {
            return;
        }
        List<Session> sessions = sessions(history, beginNs);
        double usual = share(sessions, 0, firstMs);
        double lastMs = history.first(What.END).map(at -> (at - beginNs) / 1e6).orElse(0.0) - bounds.windowMs();
        double best = Double.NaN;
        for (double at = healedMs; at <= Math.min(lastMs, healedMs + bounds.backMs()); at += STEP_MS) {
            double share = share(sessions, at, at + bounds.windowMs());
            best = Double.isNaN(best) ? share : Math.max(best, share);
        }
        if (Double.isNaN(usual) || Double.isNaN(best)) {
            verdict.excused(RULE, "too little was asked to tell");
            return;
        }
        verdict.checked(RULE);
        if (best < usual - bounds.less()) {
            verdict.broken(RULE, beginNs + (long) (1e6 * (healedMs + bounds.backMs())), String.format(
                    "service was %.3f before the first fault and is at best %.3f after the last one", usual, best));
        }
    }

    /** What is healed only once a process is back counts from there; the first starts come before the load. */
    private static boolean heals(Event event) {
        return event.what() == What.HEALED || event.what() == What.UP || event.what() == What.CONTINUED;
    }

    private static List<Session> sessions(History history, long beginNs) {
        Map<String, Event> ends = new HashMap<>();
        history.of(What.ENDED).forEach(end -> ends.put(end.id(), end));
        return history.of(What.ASKED).map(asked -> {
            Event end = ends.get(asked.id());
            return new Session(asked.msSince(beginNs), end != null && end.text().equals("200")
                    && end.msSince(asked.atNs()) <= asked.number());
        }).toList();
    }

    private static double share(List<Session> sessions, double fromMs, double toMs) {
        List<Session> some = sessions.stream().filter(one -> one.atMs() >= fromMs && one.atMs() < toMs).toList();
        return some.size() < FEWEST ? Double.NaN
                : some.stream().filter(Session::served).count() / (double) some.size();
    }
}
