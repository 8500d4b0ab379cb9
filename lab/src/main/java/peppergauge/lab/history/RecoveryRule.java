package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule {@code back}: after the last fault of each round ends, within the recovery time and before the next round, there
 * is a window in which the share of served requests is at most the tolerance below the share before the first fault.
 */
final class RecoveryRule implements HistoryRules.Rule {

    private static final String RULE = "back";
    /** Distance between the begins of two windows, which overlap. */
    private static final double WINDOW_STEP_MS = 250;
    /** With fewer requests a share of served ones is too uncertain. */
    private static final int MIN_REQUESTS = 20;

    /**
     * A request.
     *
     * @param atMs when it was sent, from a start that the caller gave
     * @param served whether it got a 200 by its deadline
     */
    record Request(double atMs, boolean served) {}

    /**
     * Service before and after the faults of a round.
     *
     * @param usual share of the requests served before the first fault; NaN if there were too few requests
     * @param best highest share in any window after the last fault; NaN if there were too few requests
     * @param recoveryLimitMs time from the start of the load by which service should have recovered
     */
    record Service(double usual, double best, double recoveryLimitMs) {

        boolean isKnown() {
            return !Double.isNaN(usual) && !Double.isNaN(best);
        }

        boolean hasRecovered(RuleLimits limits) {
            return isKnown() && best >= usual - limits.recoveryTolerance();
        }
    }

    /** The time from the begin of one round to the begin of the next one, or to the end of the load. */
    private record Round(long fromNs, long toNs) {

        boolean contains(Event event) {
            return event.atNs() >= fromNs && event.atNs() < toNs;
        }
    }

    /** Returns whether the last round can end, see {@link HistoryRules#isOver}. */
    static boolean isOver(History history, RuleLimits limits, long nowNs) {
        List<Round> rounds = rounds(history, nowNs);
        if (rounds.isEmpty()
                || history.of(EventKind.HEALED).count()
                        < history.of(EventKind.FAULT).count()) {
            return false;
        }
        Service service = service(history, limits, rounds.get(rounds.size() - 1));
        return service == null
                || service.hasRecovered(limits)
                || (nowNs - history.first(EventKind.BEGIN).orElse(0L)) / 1e6
                        > service.recoveryLimitMs() + limits.windowMs();
    }

    /** Returns the rounds; a history without round events is one round. */
    private static List<Round> rounds(History history, long endNs) {
        List<Long> begins =
                history.of(EventKind.ROUND).map(Event::atNs).sorted().toList();
        if (begins.isEmpty()) {
            return List.of(new Round(history.first(EventKind.BEGIN).orElse(0L), endNs));
        }
        List<Round> rounds = new ArrayList<>();
        for (int i = 0; i < begins.size(); i++) {
            rounds.add(new Round(begins.get(i), i + 1 < begins.size() ? begins.get(i + 1) : endNs));
        }
        return rounds;
    }

    /** Returns the service before and after the faults of a round; null if the round has no fault that ended. */
    private static Service service(History history, RuleLimits limits, Round round) {
        long beginNs = history.first(EventKind.BEGIN).orElse(0L);
        double firstFaultMs =
                history.first(EventKind.FAULT).map(at -> (at - beginNs) / 1e6).orElse(Double.NaN);
        double healedMs = history.events().stream()
                .filter(round::contains)
                .filter(RecoveryRule::endsFault)
                .mapToDouble(event -> event.msSince(beginNs))
                .max()
                .orElse(Double.NaN);
        if (history.of(EventKind.FAULT).noneMatch(round::contains) || Double.isNaN(healedMs)) {
            return null;
        }
        // The rig asks four times a second whether a run is over, and a run may have many rounds: only the requests
        // before the first fault and those after this round's faults are kept.
        List<Request> requests = requests(history, beginNs).stream()
                .filter(request -> request.atMs() < firstFaultMs || request.atMs() >= healedMs)
                .toList();
        double lastMs = (round.toNs() - beginNs) / 1e6 - limits.windowMs();
        double best = Double.NaN;
        for (double at = healedMs; at <= Math.min(lastMs, healedMs + limits.recoveryMs()); at += WINDOW_STEP_MS) {
            double share = servedShare(requests, at, at + limits.windowMs());
            // A window with too few requests must not hide the windows that have enough.
            best = Double.isNaN(best) || share > best ? share : best;
        }
        return new Service(servedShare(requests, 0, firstFaultMs), best, healedMs + limits.recoveryMs());
    }

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        for (Round round : rounds(history, history.first(EventKind.END).orElse(Long.MAX_VALUE))) {
            Service service = service(history, limits, round);
            if (service != null) {
                check(service, history, limits, verdict);
            }
        }
    }

    private static void check(Service service, History history, RuleLimits limits, Verdict verdict) {
        if (!service.isKnown()) {
            verdict.countExcused(RULE, "too few requests to measure service");
            return;
        }
        verdict.countChecked(RULE);
        if (!service.hasRecovered(limits)) {
            verdict.addBroken(
                    RULE,
                    history.first(EventKind.BEGIN).orElse(0L) + (long) (1e6 * service.recoveryLimitMs()),
                    String.format(
                            "share of served requests was %.3f before the first fault and at best %.3f after the"
                                    + " last one",
                            service.usual(), service.best()));
        }
    }

    /**
     * Returns whether recovery time counts from this event. Some faults are over only once a process is up again; the
     * first starts of processes come before the load.
     */
    private static boolean endsFault(Event event) {
        return event.what() == EventKind.HEALED || event.what() == EventKind.UP || event.what() == EventKind.CONTINUED;
    }

    /** Returns all requests, with their times from the given start. */
    static List<Request> requests(History history, long beginNs) {
        Map<String, Event> ends = new HashMap<>();
        history.of(EventKind.ENDED).forEach(end -> ends.put(end.id(), end));
        return history.of(EventKind.ASKED)
                .map(asked -> {
                    Event end = ends.get(asked.id());
                    return new Request(
                            asked.msSince(beginNs),
                            end != null && end.text().equals("200") && end.msSince(asked.atNs()) <= asked.number());
                })
                .toList();
    }

    /** Returns the share of the requests of a span that were served; NaN if there were too few requests. */
    static double servedShare(List<Request> requests, double fromMs, double toMs) {
        List<Request> inSpan = requests.stream()
                .filter(request -> request.atMs() >= fromMs && request.atMs() < toMs)
                .toList();
        return inSpan.size() < MIN_REQUESTS
                ? Double.NaN
                : inSpan.stream().filter(Request::served).count() / (double) inSpan.size();
    }
}
