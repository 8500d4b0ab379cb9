package peppergauge.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** What must hold of a run, held against its journal. Figures are the protocol's, with its slack. */
public final class SoakRules {

    /** By which each limit is longer on sockets. */
    private static final double SLACK_MS = 50;
    /** Up to so much after its time an answer only earns nothing. */
    private static final double LATE_MS = 500;

    private static final double LEFT_MS = 100;
    private static final double TOLD_SLACK_MS = 150;
    private static final double HALF_REQUEST_MS = 3_000;
    private static final double READY_MS = 10_000;
    /** Clients still connect for so long after SIGTERM. */
    private static final double ACCEPTING_MS = 700;
    /** With nothing owed a process ends within this: its linger, and the end of the Java machine. */
    private static final double ENDING_MS = 1_000;
    /** What has been there for so long has been read, and is owed its answer. */
    private static final double READ_MS = 150;

    private static final double RESTED_MS = 2_000;
    private static final double LEAST_FORWARDED = 0.5;
    /** Fewer tell nothing of a share. */
    private static final int LEAST_COUNTED = 10;

    private static final long MOST_RSS_KB = 192 * 1024;

    /** A rule that was broken, and by what. */
    public record Broken(String rule, String about) {}

    private final RunRecord journal;
    private final double graceMs;
    private final int mostDescriptors;
    private final List<Broken> broken = new ArrayList<>();
    private final Map<String, Integer> checked = new TreeMap<>();
    private final Map<String, Integer> excused = new TreeMap<>();
    private Map<String, List<RunRecord.Attempt>> attempts;

    SoakRules(RunRecord journal, double graceMs, int mostDescriptors) {
        this.journal = journal;
        this.graceMs = graceMs;
        this.mostDescriptors = mostDescriptors;
    }

    List<Broken> check() {
        attempts = journal.attempts.stream().collect(Collectors.groupingBy(attempt -> attempt.id));
        journal.allAsks().stream()
                .sorted(Comparator.comparing(ask -> ask.sentNs))
                .forEach(ask -> {
                    List<RunRecord.Attempt> of = attempts.getOrDefault(ask.id, List.of());
                    answer(ask, of);
                    effects(ask, of);
                    oneAttempt(ask, of);
                    leftAndDeadlines(ask, of);
                });
        leaving();
        halfRequests();
        withoutLength();
        process();
        return broken;
    }

    /** How much each rule was held against. */
    Map<String, Integer> checked() {
        return checked;
    }

    Map<String, Integer> excused() {
        return excused;
    }

    private void breaks(String rule, String about) {
        broken.add(new Broken(rule, about));
    }

    private void hold(String rule) {
        checked.merge(rule, 1, Integer::sum);
    }

    /** Breaks a rule unless the machine let all wait for as long as it was overrun by. */
    private void breaksBy(String rule, double overMs, double waitedMs, String about) {
        if (overMs <= waitedMs) {
            excused.merge(rule + ": the machine let all wait", 1, Integer::sum);
        } else {
            breaks(
                    rule,
                    about + " (over by " + Math.round(overMs) + " ms, the machine waited " + Math.round(waitedMs)
                            + ")");
        }
    }

    private static double ms(long fromNs, long untilNs) {
        return (untilNs - fromNs) / 1e6;
    }

    // ---- Requests ----

    private void answer(RunRecord.Ask ask, List<RunRecord.Attempt> of) {
        if (ask.leftNs != 0) {
            return;
        }
        hold("answer");
        String name = "request " + ask.id;
        if (ask.end == null) {
            if (!journal.killed) {
                breaks("answer", name + " has no end");
            }
        } else if (ask.end.equals(RunRecord.CLOSED)) {
            closed(ask, of);
        } else if (ask.end.equals(RunRecord.GAVE_UP)) {
            breaksBy(
                    "answer",
                    ms(ask.dueNs(), ask.endNs) - LATE_MS,
                    journal.waitedMs(ask.sentNs, ask.endNs),
                    name + " had no answer");
        } else if (!ask.end.matches("200|429|50[0-9]")) {
            breaks("answer", name + " was answered with " + ask.end);
        } else {
            double overMs = ms(ask.dueNs(), ask.endNs) - LATE_MS;
            if (overMs > 0) {
                breaksBy(
                        "answer",
                        overMs,
                        journal.waitedMs(ask.sentNs, ask.endNs),
                        name + " was answered late, with "
                                + ask.end + ", after " + Math.round(ms(ask.sentNs, ask.endNs)) + " ms of "
                                + ask.remainingMs
                                + ", attempts at "
                                + of.stream()
                                        .map(one -> Math.round(ms(ask.sentNs, one.firstNs)))
                                        .toList());
            }
        }
    }

    /**
     * A sidecar may end a connection between requests, and a request may cross that: nothing of it is forwarded then.
     */
    private void closed(RunRecord.Ask ask, List<RunRecord.Attempt> of) {
        String name = "request " + ask.id + (ask.first ? " (first on its connection)" : "");
        boolean ending = journal.terminatedNs != 0 && ask.endNs > journal.terminatedNs;
        if (!of.isEmpty()) {
            breaks("answer", name + " was forwarded, and its connection closed" + place(ask));
        } else if (ms(ask.sentNs, ask.endNs) > READ_MS + journal.waitedMs(ask.sentNs, ask.endNs)) {
            breaks(
                    "answer",
                    name + " was there for " + Math.round(ms(ask.sentNs, ask.endNs)) + " ms, and its connection closed"
                            + place(ask));
        } else if (!ending && ask.restedMs < RESTED_MS && !ask.first && !isCrowded(ask)) {
            breaks("answer", name + " met a close of a connection in use" + place(ask));
        } else {
            excused.merge("answer: crossed a close, nothing was sent", 1, Integer::sum);
        }
    }

    /** Where there is no place for a new connection, one that asks nothing at the moment is closed for it. */
    private boolean isCrowded(RunRecord.Ask ask) {
        return journal.crowds.stream().anyMatch(crowd -> ask.sentNs >= crowd.fromNs() && ask.sentNs <= crowd.untilNs());
    }

    private String place(RunRecord.Ask ask) {
        return journal.terminatedNs == 0
                ? ""
                : ", sent " + Math.round(ms(journal.terminatedNs, ask.sentNs)) + " ms and closed "
                        + Math.round(ms(journal.terminatedNs, ask.endNs)) + " ms after SIGTERM";
    }

    private void effects(RunRecord.Ask ask, List<RunRecord.Attempt> of) {
        if (!ask.unsafe) {
            return;
        }
        hold("duplicate");
        long began = of.stream()
                .filter(attempt -> attempt.begunNs != 0 && !attempt.turnedAway)
                .count();
        if (began > 1) {
            breaks("duplicate", "request " + ask.id + " began " + began + " times");
        }
        if (began > 0 && ask.end != null && ask.end.matches("429|503")) {
            breaks("duplicate", "request " + ask.id + " began, and was answered with " + ask.end);
        }
    }

    private void oneAttempt(RunRecord.Ask ask, List<RunRecord.Attempt> of) {
        for (RunRecord.Attempt one : of) {
            for (RunRecord.Attempt other : of) {
                if (other.firstNs > one.firstNs && one.overNs != 0) {
                    hold("one attempt");
                    double overMs = ms(other.firstNs, one.overNs) - SLACK_MS;
                    if (overMs > 0 && other.begunNs != 0) {
                        breaksBy(
                                "one attempt",
                                overMs,
                                journal.waitedMs(other.firstNs, one.overNs),
                                "request " + ask.id + " was out twice");
                    }
                }
            }
        }
    }

    private void leftAndDeadlines(RunRecord.Ask ask, List<RunRecord.Attempt> of) {
        for (RunRecord.Attempt attempt : of) {
            if (ask.leftNs != 0) {
                hold("left");
                double overMs = ms(ask.leftNs, attempt.firstNs) - LEFT_MS;
                if (overMs > 0) {
                    breaksBy(
                            "left",
                            overMs,
                            journal.waitedMs(ask.leftNs, attempt.firstNs),
                            "request " + ask.id + " was sent after its client had left");
                }
            }
            hold("told deadline");
            double leftMs = ask.remainingMs - ms(ask.sentNs, attempt.firstNs);
            double overMs = attempt.toldMs - leftMs - TOLD_SLACK_MS;
            if (overMs > 0) {
                breaksBy(
                        "told deadline",
                        overMs,
                        journal.waitedMs(ask.sentNs, attempt.firstNs),
                        "request " + ask.id + " told " + attempt.toldMs + " ms where " + Math.round(leftMs)
                                + " were left");
            }
        }
    }

    // ---- Servers and bad clients ----

    private void leaving() {
        for (RunRecord.Leaving server : journal.leaving) {
            for (RunRecord.Attempt attempt : journal.attempts) {
                if (attempt.server.equals(server.server())) {
                    hold("drain");
                    double overMs = ms(server.countsNs(), attempt.firstNs) - graceMs - SLACK_MS;
                    if (overMs > 0) {
                        breaksBy(
                                "drain",
                                overMs,
                                journal.waitedMs(server.countsNs(), attempt.firstNs),
                                "request " + attempt.id + " was sent to " + attempt.server + ", which leaves");
                    }
                }
            }
        }
    }

    private void halfRequests() {
        for (RunRecord.HalfRequest half : journal.halfRequests) {
            hold("half request");
            long untilNs = half.endedNs != 0 ? half.endedNs : Long.MAX_VALUE;
            double overMs = ms(half.stoppedNs, Math.min(untilNs, journal.endedNs)) - HALF_REQUEST_MS - SLACK_MS;
            if (overMs > 0) {
                breaksBy(
                        "half request",
                        overMs,
                        journal.waitedMs(half.stoppedNs, untilNs),
                        "a client that stopped amid a request was left waiting");
            }
        }
    }

    private void withoutLength() {
        Set<String> served = journal.allAsks().stream()
                .filter(ask -> "200".equals(ask.end))
                .map(ask -> ask.id)
                .collect(Collectors.toSet());
        Collection<RunRecord.Attempt> whole = journal.attempts.stream()
                .filter(attempt -> attempt.withoutLength && journal.asks.get(attempt.id).leftNs == 0)
                .toList();
        long forwarded =
                whole.stream().filter(attempt -> served.contains(attempt.id)).count();
        hold("without length");
        if (whole.size() >= LEAST_COUNTED && forwarded < LEAST_FORWARDED * whole.size()) {
            breaks("without length", forwarded + " of " + whole.size() + " answers without a length were forwarded");
        }
    }

    // ---- The process ----

    private void process() {
        hold("process");
        if (journal.readyNs == 0
                || ms(journal.startedNs, journal.readyNs)
                        > READY_MS + journal.waitedMs(journal.startedNs, journal.readyNs)) {
            breaks(
                    "process",
                    "ready after " + (journal.readyNs == 0 ? "never" : ms(journal.startedNs, journal.readyNs) + " ms"));
        }
        if (journal.terminatedStartMs > ENDING_MS + ACCEPTING_MS + READY_MS) {
            breaks("process", "a start that got SIGTERM lived for " + journal.terminatedStartMs + " ms");
        }
        if (journal.terminatedNs == 0) {
            breaks("process", "ended by itself with " + journal.exitCode);
            return;
        }
        journal.log
                .lines()
                .filter(line -> line.matches(".*Z ((bug|invariant|plug-ins): "
                        + "|(event_loop_task|io_reactor|request_task)_failed ).*"))
                .forEach(line -> breaks("process", line));
        long owedNs = journal.clientEndsNs.stream()
                .filter(atNs -> atNs <= journal.endedNs)
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        owedNs = Math.max(owedNs, journal.terminatedNs + (long) (ACCEPTING_MS * 1e6));
        double overMs = ms(owedNs, journal.endedNs) - ENDING_MS;
        if (journal.killed || overMs > 0) {
            breaksBy(
                    "process",
                    overMs,
                    journal.waitedMs(owedNs, journal.endedNs),
                    "lived on " + Math.round(ms(owedNs, journal.endedNs)) + " ms with nothing owed");
        }
        journal.looks.forEach(look -> {
            hold("limits");
            if (look.descriptors() > mostDescriptors || look.rssKb() > MOST_RSS_KB) {
                breaks("limits", look.descriptors() + " descriptors, " + look.rssKb() + " KiB");
            }
        });
    }
}
