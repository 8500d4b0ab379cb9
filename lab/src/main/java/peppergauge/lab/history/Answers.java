package peppergauge.lab.history;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * {@code answer}: a session has one final answer, by its deadline and the slack. Not where its client's link was
 * faulty, or its sidecar stood still or was down; and later by as much as the machine let the lab itself wait, or its
 * sidecar.
 */
final class Answers implements Rules.Rule {

    private static final String RULE = "answer";
    /** What is asked so shortly before SIGTERM may arrive after it. */
    private static final long ENDING_NS = 50_000_000;
    /** Words of {@code load.Outcome} for what no sidecar ever took. */
    private static final Set<String> NOT_TAKEN = Set.of("refused", "unsent");
    /** On a connection that was idle for so long its sidecar need not wait for a request that is on its way, ms. */
    private static final long IDLE_MS = 2_000;
    /** Of all sessions: a sidecar may close a connection between requests, and one may cross that. */
    private static final double MOST_CROSSED = 0.01;

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        Map<String, Event> ends = new HashMap<>();
        history.of(What.ENDED).forEach(end -> {
            if (ends.putIfAbsent(end.id(), end) != null) {
                verdict.broken(RULE, end.atNs(), "session " + end.id() + " has two ends");
            }
        });
        Set<String> sent = history.of(What.SENT).map(Event::id).collect(Collectors.toSet());
        Carried carried = new Carried(history);
        Set<String> crossed = new HashSet<>();
        history.of(What.ASKED).forEach(asked -> {
            verdict.checked(RULE);
            Event end = ends.get(asked.id());
            String wrong = wrong(history, bounds, asked, end, verdict);
            String excuse = wrong.isEmpty() ? "" : carried.excuse(asked, end, limitMs(bounds, asked));
            if (!excuse.isEmpty()) {
                verdict.excused(RULE, excuse);
            } else if (wrong.equals("closed") && carried.idleMs(asked.id()) >= IDLE_MS) {
                verdict.excused(RULE, "crossed the close of an idle connection");
            } else if (wrong.equals("closed") && !sent.contains(asked.id())) {
                crossed.add(asked.id());
                verdict.excused(RULE, "crossed a close, nothing was sent");
            } else if (!wrong.isEmpty()) {
                verdict.broken(RULE, asked.atNs(), "session " + asked.id() + " of " + asked.whom() + ": " + wrong);
            }
        });
        if (crossed.size() > Math.max(3, MOST_CROSSED * ends.size())) {
            verdict.broken(RULE, 0, crossed.size() + " sessions were hung up on");
        }
    }

    private static double limitMs(Bounds bounds, Event asked) {
        return asked.number() + bounds.slackMs() + bounds.answerMs();
    }

    /** How long its client waited: one that gave up may have done so while the sidecar itself had no CPU to answer. */
    private static double waitedMs(Event asked, Event end) {
        return end == null ? Double.POSITIVE_INFINITY : end.msSince(asked.atNs());
    }

    /** Empty if nothing is, or if it is excused. */
    private static String wrong(History history, Bounds bounds, Event asked, Event end, Verdict verdict) {
        if (end != null && NOT_TAKEN.contains(end.text())) {
            return "";
        }
        boolean answered = end != null && end.text().matches("[1-5]\\d\\d");
        if (end != null
                && (end.text().equals("wrong")
                        || end.text().equals("400")
                        || end.text().equals("404"))) {
            return "answered with " + end.text();
        }
        double limitMs = limitMs(bounds, asked);
        double tookMs = answered ? end.msSince(asked.atNs()) : Double.POSITIVE_INFINITY;
        if (tookMs <= limitMs) {
            return "";
        }
        long untilNs = end == null ? Long.MAX_VALUE : end.atNs();
        String excuse = history.wasEnding(asked.whom(), asked.atNs() + ENDING_NS)
                ? "its sidecar had got SIGTERM"
                : history.wasDown(asked.whom(), asked.atNs(), untilNs)
                        ? "its sidecar was down"
                        : history.stood(asked.whom(), asked.atNs(), untilNs)
                                ? "its sidecar stood still"
                                : history.faulty("clients>" + asked.whom(), asked.atNs(), untilNs)
                                        ? "its client's link was faulty"
                                        : tookMs <= limitMs + history.lateMs(asked.atNs(), untilNs)
                                                ? "the machine let all wait"
                                                : waitedMs(asked, end) > limitMs
                                                                && waitedMs(asked, end)
                                                                        <= limitMs
                                                                                + history.waitedMs(
                                                                                        asked.whom(),
                                                                                        asked.atNs(),
                                                                                        untilNs)
                                                        ? "its sidecar got no CPU"
                                                        : "";
        if (!excuse.isEmpty()) {
            verdict.excused(RULE, excuse);
            return "";
        }
        return answered ? "answered after " + Math.round(tookMs) + " ms" : end == null ? "no end" : end.text();
    }
}
