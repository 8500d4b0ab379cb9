package peppergauge.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Rules that the record of a run must satisfy. Limits are those of the protocol plus a slack. */
public final class SoakRules {

    /** A log line that tells of a bug of the sidecar. */
    private static final Pattern BUG_LINE = Pattern.compile(".*Z ((bug|invariant): |(event_loop_task|event_loop_round"
            + "|connection_open|request_task|plugin_request_handling)_failed ).*");

    /** Added to each limit for delays on sockets. */
    private static final double SLACK_MS = 50;
    /** A response that is late by less than this only loses its value. */
    private static final double MAX_LATENESS_MS = 500;

    private static final double DISCONNECT_SLACK_MS = 100;
    private static final double DEADLINE_SLACK_MS = 150;
    private static final double RECEIVE_TIMEOUT_MS = 3_000;
    private static final double MAX_STARTUP_MS = 10_000;
    /** The sidecar accepts connections for this long after SIGTERM. */
    private static final double ACCEPTING_MS = 700;
    /** A process without open connections of clients ends within this time: its linger and the end of the JVM. */
    private static final double MAX_EXIT_MS = 1_000;
    /** A request that arrived longer ago than this has been read and must be answered. */
    private static final double MAX_READ_DELAY_MS = 150;

    private static final double MIN_IDLE_MS = 2_000;
    private static final double MIN_FORWARDED_SHARE = 0.5;
    /** Shares of fewer samples are not checked. */
    private static final int MIN_SAMPLES = 10;

    private static final long MAX_RSS_KIB = 192 * 1024;

    /** A violated rule and a description of the violation. */
    public record Violation(String rule, String about) {}

    private final RunRecord runRecord;
    private final double graceMs;
    private final int maxDescriptors;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, Integer> checked = new TreeMap<>();
    private final Map<String, Integer> excused = new TreeMap<>();
    private Map<String, List<RunRecord.Attempt>> attempts;

    SoakRules(RunRecord runRecord, double graceMs, int maxDescriptors) {
        this.runRecord = runRecord;
        this.graceMs = graceMs;
        this.maxDescriptors = maxDescriptors;
    }

    List<Violation> check() {
        attempts = runRecord.attempts.stream().collect(Collectors.groupingBy(attempt -> attempt.id));
        runRecord.allRequests().stream()
                .sorted(Comparator.comparing(request -> request.sentNs))
                .forEach(request -> {
                    List<RunRecord.Attempt> requestAttempts = attempts.getOrDefault(request.id, List.of());
                    responses(request, requestAttempts);
                    duplicates(request, requestAttempts);
                    overlappingAttempts(request, requestAttempts);
                    attemptTiming(request, requestAttempts);
                });
        drainingServers();
        partialRequests();
        withoutLength();
        process();
        return violations;
    }

    /** Returns how often each rule was checked. */
    Map<String, Integer> checked() {
        return checked;
    }

    Map<String, Integer> excused() {
        return excused;
    }

    private void addViolation(String rule, String about) {
        violations.add(new Violation(rule, about));
    }

    private void countCheck(String rule) {
        checked.merge(rule, 1, Integer::sum);
    }

    /** Adds a violation unless the machine delayed the run for at least as long as the limit was exceeded. */
    private void addViolationUnlessDelayed(String rule, double overMs, double machineDelayMs, String about) {
        if (overMs <= machineDelayMs) {
            excused.merge(rule + ": the machine let all wait", 1, Integer::sum);
        } else {
            addViolation(
                    rule,
                    about + " (over by " + Math.round(overMs) + " ms, the machine delayed it by "
                            + Math.round(machineDelayMs)
                            + ")");
        }
    }

    private static double ms(long fromNs, long untilNs) {
        return (untilNs - fromNs) / 1e6;
    }

    // ---- Requests ----

    private void responses(RunRecord.ClientRequest request, List<RunRecord.Attempt> requestAttempts) {
        if (request.disconnectedNs != 0) {
            return;
        }
        countCheck("answer");
        String name = "request " + request.id;
        if (hasBrokenConnection(request)) {
            excused.merge("answer: a call on the client's connection may have failed", 1, Integer::sum);
        } else if (request.end == null) {
            if (!runRecord.killed) {
                addViolation("answer", name + " has neither a response nor a closed connection");
            }
        } else if (request.end.equals(RunRecord.CLOSED)) {
            closedConnection(request, requestAttempts);
        } else if (request.end.equals(RunRecord.GAVE_UP)) {
            addViolationUnlessDelayed(
                    "answer",
                    ms(responseDueNs(request), request.endNs) - MAX_LATENESS_MS,
                    runRecord.machineDelayMs(request.sentNs, request.endNs),
                    name + " got no response");
        } else if (!request.end.matches("200|429|50[0-9]")) {
            addViolation("answer", name + " was answered with " + request.end);
        } else {
            double overMs = ms(responseDueNs(request), request.endNs) - MAX_LATENESS_MS;
            if (overMs > 0) {
                addViolationUnlessDelayed(
                        "answer",
                        overMs,
                        runRecord.machineDelayMs(request.sentNs, request.endNs),
                        name + " was answered late, with "
                                + request.end + ", after " + Math.round(ms(request.sentNs, request.endNs)) + " ms of "
                                + request.remainingMs
                                + ", attempts at "
                                + requestAttempts.stream()
                                        .map(one -> Math.round(ms(request.sentNs, one.firstByteNs)))
                                        .toList());
            }
        }
    }

    /** Returns whether the connection has ended, which a failing call on it may have caused. */
    private boolean hasBrokenConnection(RunRecord.ClientRequest request) {
        if (!RunRecord.CLOSED.equals(request.end) && !RunRecord.PARTIAL.equals(request.end)) {
            return false;
        }
        // The client may see only now that its idle connection has ended.
        long idleSinceNs = request.sentNs - (long) (request.idleBeforeMs * 1e6);
        boolean isForwarded = attempts.containsKey(request.id);
        return runRecord.callFailures.mayHaveBrokenConnection(
                isForwarded ? request.sentNs : idleSinceNs, request.endNs);
    }

    /** Returns when a response can be expected at the latest; a connection that is not accepted cannot be read. */
    private long responseDueNs(RunRecord.ClientRequest request) {
        boolean mayAwaitAccept = request.first || request.predecessor != null && request.predecessor.first;
        long notReadNs = mayAwaitAccept ? runRecord.callFailures.readableNs(request.sentNs) - request.sentNs : 0;
        return runRecord.callFailures.writableNs(request.sentNs, request.responseDueNs() + notReadNs);
    }

    /**
     * Checks a request whose connection was closed. A sidecar may close a connection between requests, and a request
     * may coincide with that; it must not have been forwarded then.
     */
    private void closedConnection(RunRecord.ClientRequest request, List<RunRecord.Attempt> requestAttempts) {
        String name = "request " + request.id + (request.first ? " (first on its connection)" : "");
        boolean ending = runRecord.terminatedNs != 0 && request.endNs > runRecord.terminatedNs;
        if (!requestAttempts.isEmpty()) {
            addViolation("answer", name + " was forwarded, and its connection was closed" + timing(request));
        } else if (ms(request.sentNs, request.endNs) - ms(request.responseDueNs(), responseDueNs(request))
                > MAX_READ_DELAY_MS + runRecord.machineDelayMs(request.sentNs, request.endNs)) {
            addViolation(
                    "answer",
                    name + " waited for " + Math.round(ms(request.sentNs, request.endNs))
                            + " ms, and its connection was closed"
                            + timing(request));
        } else if (!ending && request.idleBeforeMs < MIN_IDLE_MS && !request.first && !isCrowded(request)) {
            addViolation("answer", name + " was sent on a connection in use, which was closed" + timing(request));
        } else {
            excused.merge("answer: crossed a close, nothing was sent", 1, Integer::sum);
        }
    }

    /**
     * Returns whether the connection limit was reached: the sidecar then closes an idle connection for each new one.
     */
    private boolean isCrowded(RunRecord.ClientRequest request) {
        return runRecord.connectionLimitPeriods.stream()
                .anyMatch(crowd -> request.sentNs >= crowd.fromNs() && request.sentNs <= crowd.untilNs());
    }

    private String timing(RunRecord.ClientRequest request) {
        return runRecord.terminatedNs == 0
                ? ""
                : ", sent " + Math.round(ms(runRecord.terminatedNs, request.sentNs)) + " ms and closed "
                        + Math.round(ms(runRecord.terminatedNs, request.endNs)) + " ms after SIGTERM";
    }

    private void duplicates(RunRecord.ClientRequest request, List<RunRecord.Attempt> requestAttempts) {
        if (!request.unsafe) {
            return;
        }
        countCheck("duplicate");
        long began = requestAttempts.stream()
                .filter(attempt -> attempt.processingStartNs != 0 && !attempt.rejected)
                .count();
        if (began > 1) {
            addViolation("duplicate", "request " + request.id + " began " + began + " times");
        }
        if (began > 0 && request.end != null && request.end.matches("429|503")) {
            addViolation("duplicate", "request " + request.id + " began, and was answered with " + request.end);
        }
    }

    private void overlappingAttempts(RunRecord.ClientRequest request, List<RunRecord.Attempt> requestAttempts) {
        for (RunRecord.Attempt one : requestAttempts) {
            for (RunRecord.Attempt other : requestAttempts) {
                if (other.firstByteNs > one.firstByteNs && one.finishedNs != 0) {
                    countCheck("one attempt");
                    double overMs = ms(other.firstByteNs, one.finishedNs) - SLACK_MS;
                    if (overMs > 0 && other.processingStartNs != 0) {
                        addViolationUnlessDelayed(
                                "one attempt",
                                overMs,
                                runRecord.machineDelayMs(other.firstByteNs, one.finishedNs),
                                "request " + request.id + " had two attempts in flight");
                    }
                }
            }
        }
    }

    private void attemptTiming(RunRecord.ClientRequest request, List<RunRecord.Attempt> requestAttempts) {
        for (RunRecord.Attempt attempt : requestAttempts) {
            if (request.disconnectedNs != 0) {
                countCheck("left");
                double overMs = ms(request.disconnectedNs, attempt.firstByteNs) - DISCONNECT_SLACK_MS;
                if (overMs > 0) {
                    addViolationUnlessDelayed(
                            "left",
                            overMs,
                            runRecord.machineDelayMs(request.disconnectedNs, attempt.firstByteNs),
                            "request " + request.id + " was sent after its client had disconnected");
                }
            }
            countCheck("told deadline");
            double remainingMs = request.remainingMs - ms(request.sentNs, attempt.firstByteNs);
            double overMs = attempt.announcedRemainingMs - remainingMs - DEADLINE_SLACK_MS;
            if (overMs > 0) {
                addViolationUnlessDelayed(
                        "told deadline",
                        overMs,
                        runRecord.machineDelayMs(request.sentNs, attempt.firstByteNs),
                        "request " + request.id + " was sent with " + attempt.announcedRemainingMs
                                + " ms remaining where "
                                + Math.round(remainingMs)
                                + " ms were left");
            }
        }
    }

    // ---- Servers and misbehaving clients ----

    private void drainingServers() {
        for (RunRecord.DrainingServer server : runRecord.drainingServers) {
            for (RunRecord.Attempt attempt : runRecord.attempts) {
                if (attempt.server.equals(server.server())) {
                    countCheck("drain");
                    long announcedNs = runRecord.callFailures.announcedNs(server.effectiveNs());
                    double overMs = ms(announcedNs, attempt.firstByteNs) - graceMs - SLACK_MS;
                    if (overMs > 0) {
                        addViolationUnlessDelayed(
                                "drain",
                                overMs,
                                runRecord.machineDelayMs(server.effectiveNs(), attempt.firstByteNs),
                                "request " + attempt.id + " was sent to " + attempt.server + ", which drains");
                    }
                }
            }
        }
    }

    private void partialRequests() {
        for (RunRecord.PartialRequest partial : runRecord.partialRequests) {
            countCheck("half request");
            long untilNs = partial.endedNs != 0 ? partial.endedNs : Long.MAX_VALUE;
            double overMs =
                    ms(partial.lastByteNs, Math.min(untilNs, runRecord.endedNs)) - RECEIVE_TIMEOUT_MS - SLACK_MS;
            if (overMs > 0) {
                addViolationUnlessDelayed(
                        "half request",
                        overMs,
                        runRecord.machineDelayMs(partial.lastByteNs, untilNs),
                        "a client that stopped in the middle of a request was not disconnected");
            }
        }
    }

    private void withoutLength() {
        Set<String> served = runRecord.allRequests().stream()
                .filter(request -> "200".equals(request.end))
                .map(request -> request.id)
                .collect(Collectors.toSet());
        Collection<RunRecord.Attempt> complete = runRecord.attempts.stream()
                .filter(attempt -> attempt.withoutLength && runRecord.requests.get(attempt.id).disconnectedNs == 0)
                .toList();
        long forwarded =
                complete.stream().filter(attempt -> served.contains(attempt.id)).count();
        countCheck("without length");
        if (complete.size() >= MIN_SAMPLES && forwarded < MIN_FORWARDED_SHARE * complete.size()) {
            addViolation(
                    "without length",
                    forwarded + " of " + complete.size() + " responses without a length were forwarded");
        }
    }

    // ---- The process ----

    private void process() {
        countCheck("process");
        if (runRecord.readyNs == 0
                || ms(runRecord.startedNs, runRecord.readyNs)
                        > MAX_STARTUP_MS + runRecord.machineDelayMs(runRecord.startedNs, runRecord.readyNs)) {
            addViolation(
                    "process",
                    runRecord.readyNs == 0
                            ? "never ready"
                            : "ready after " + ms(runRecord.startedNs, runRecord.readyNs) + " ms");
        }
        if (runRecord.terminatedStartupMs > MAX_EXIT_MS + ACCEPTING_MS + MAX_STARTUP_MS) {
            addViolation(
                    "process",
                    "a run that got SIGTERM during startup ended after " + runRecord.terminatedStartupMs + " ms");
        }
        if (runRecord.terminatedNs == 0) {
            addViolation("process", "ended before SIGTERM was sent");
            return;
        }
        runRecord
                .log
                .lines()
                .filter(line -> BUG_LINE.matcher(line).matches())
                .forEach(line -> addViolation("process", line));
        long lastConnectionEndNs = runRecord.clientEndsNs.stream()
                .filter(atNs -> atNs <= runRecord.endedNs)
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        lastConnectionEndNs = Math.max(lastConnectionEndNs, runRecord.terminatedNs + (long) (ACCEPTING_MS * 1e6));
        double overMs = ms(lastConnectionEndNs, runRecord.endedNs) - MAX_EXIT_MS;
        if (runRecord.killed || overMs > 0) {
            addViolationUnlessDelayed(
                    "process",
                    overMs,
                    runRecord.machineDelayMs(lastConnectionEndNs, runRecord.endedNs),
                    "kept running for " + Math.round(ms(lastConnectionEndNs, runRecord.endedNs))
                            + " ms without open connections of clients");
        }
        runRecord.resourceSamples.forEach(sample -> {
            countCheck("limits");
            if (sample.descriptors() > maxDescriptors || sample.rssKb() > MAX_RSS_KIB) {
                addViolation("limits", sample.descriptors() + " descriptors, " + sample.rssKb() + " KiB");
            }
        });
    }
}
