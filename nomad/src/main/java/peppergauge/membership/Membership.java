package peppergauge.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import peppergauge.membership.DecisionReason.Kind;
import peppergauge.request.EndpointUpdate;

/**
 * Merges the endpoint lists of several sources into one. Decides which servers may be sent requests; how many each gets
 * is the load balancer's decision.
 *
 * <p>New, draining and stopped servers are accepted at once. An empty list or a large loss is accepted when it is
 * confirmed. The servers of a silent source stay listed. A draining server is never listed as ready. The list does not
 * become empty while a server responds that was not reported draining. Not thread-safe; times in milliseconds from one
 * origin.
 */
public final class Membership {

    private final Map<String, SourceState> sources = new LinkedHashMap<>();
    private final FlapDetector flapDetector;
    private final RecentResponses responses;
    private final SourceMerger merger;
    private final EndpointTable table;
    /** Addresses of servers that are listed as ready despite the reports. */
    private Set<String> retained = new TreeSet<>();

    /** Value of {@link #retained} before the present update. */
    private Set<String> retainedBefore = new TreeSet<>();
    /** Addresses of servers whose return is suppressed. */
    private final Set<String> suppressed = new TreeSet<>();

    public Membership(MembershipConfig config) {
        config.sources().forEach(name -> sources.put(name, new SourceState(name, config)));
        flapDetector = new FlapDetector(config);
        responses = new RecentResponses(config.responseWindowMs());
        merger = new SourceMerger(config, sources.values(), responses);
        table = new EndpointTable(config, flapDetector);
    }

    /**
     * Processes an update of a source.
     *
     * @throws IllegalArgumentException if the settings do not name the source
     */
    public MembershipChange onUpdate(double nowMs, SourceUpdate update) {
        SourceState source = sources.get(update.source());
        if (source == null) {
            throw new IllegalArgumentException("no source is named " + update.source());
        }
        DecisionReasons reasons = new DecisionReasons();
        if (update instanceof SourceUpdate.Lost) {
            source.onLost(nowMs, reasons);
        } else {
            source.onAlive(nowMs, reasons);
        }
        boolean accepted = true;
        if (update instanceof SourceUpdate.CompleteList list) {
            accepted = source.onCompleteList(nowMs, list, table.listed(), reasons);
        } else if (update instanceof SourceUpdate.Changes changes) {
            source.onChanges(nowMs, changes, table.listed());
        }
        return refresh(nowMs, accepted, reasons);
    }

    /** Processes timeouts; to be called several times per second. */
    public MembershipChange onTick(double nowMs) {
        flapDetector.prune(nowMs);
        responses.prune(nowMs);
        return refresh(nowMs, true, new DecisionReasons());
    }

    /** Sets the endpoints known at startup; they stay listed until a source reports. */
    public void seed(List<EndpointUpdate.EndpointAddress> endpoints) {
        table.seed(endpoints);
    }

    /** Records that the server at this address responded successfully. */
    public void onResponse(double nowMs, String address) {
        responses.onResponse(address, nowMs);
    }

    /** Returns whether a report of this source awaits confirmation, so that the source should be polled again soon. */
    public boolean isConfirmationPending(String source) {
        return sources.get(source).isConfirmationPending();
    }

    /** Returns the complete list. */
    public EndpointUpdate snapshot() {
        return table.snapshot();
    }

    private MembershipChange refresh(double nowMs, boolean accepted, DecisionReasons reasons) {
        if (sources.values().stream().noneMatch(SourceState::hasReported)) {
            return new MembershipChange(Optional.empty(), accepted, reasons.toList());
        }
        retainedBefore = retained;
        retained = new TreeSet<>();
        Map<String, Candidate> candidates = merger.merge(nowMs, reasons);
        Map<String, Boolean> ready = chooseReady(nowMs, candidates, reasons);
        EndpointTable.Edit edit = table.edit(nowMs, reasons);
        candidates.forEach((address, each) -> edit.list(each, ready.get(address)));
        boolean anyReady = ready.containsValue(true);
        for (EndpointTable.Entry entry : table.entries()) {
            if (candidates.containsKey(entry.address())) {
                continue;
            }
            if (!anyReady && isStillServing(entry, nowMs)) {
                retain(
                        entry.address(),
                        "",
                        entry.server(),
                        "missing, but it responds and no other server is left",
                        reasons);
                edit.reinstate(entry);
            } else {
                edit.depart(entry);
            }
        }
        suppressed.retainAll(candidates.keySet());
        assert table.isConsistent() : "the table by address and by id differ: " + table;
        assert candidates.values().stream().noneMatch(each -> each.isDraining() && table.isReady(each.address()))
                : "a draining server is listed as ready: " + table;
        return new MembershipChange(edit.commit(), accepted, reasons.toList());
    }

    /** Returns for each candidate, by address, whether it is listed as ready. */
    private Map<String, Boolean> chooseReady(double nowMs, Map<String, Candidate> candidates, DecisionReasons reasons) {
        Map<String, Boolean> ready = new LinkedHashMap<>();
        candidates.forEach((address, each) -> ready.put(address, isReady(nowMs, each, reasons)));
        if (!ready.containsValue(true)) {
            // No server is ready: list every server that is not draining rather than none.
            candidates.forEach((address, each) -> {
                if (each.status() != ReportedStatus.DRAINING) {
                    ready.put(address, true);
                    String reason = "it is suppressed or suspect, but no other server is left";
                    retain(address, each.source(), each.server(), reason, reasons);
                }
            });
        }
        return ready;
    }

    private boolean isReady(double nowMs, Candidate candidate, DecisionReasons reasons) {
        return switch (candidate.status()) {
            case DRAINING, STOPPED -> false;
            case SUSPECT -> isRespondingSuspect(nowMs, candidate, reasons);
            case READY -> table.isReady(candidate.address()) || !isSuppressed(nowMs, candidate, reasons);
        };
    }

    private boolean isRespondingSuspect(double nowMs, Candidate candidate, DecisionReasons reasons) {
        if (!responses.hasRecent(candidate.address(), nowMs)) {
            return false;
        }
        String reason = candidate.reported().statusReason() + ", but it responds";
        retain(candidate.address(), candidate.source(), candidate.server(), reason, reasons);
        return true;
    }

    private boolean isSuppressed(double nowMs, Candidate candidate, DecisionReasons reasons) {
        double untilMs = flapDetector.suppressedUntilMs(candidate.address(), nowMs);
        if (nowMs >= untilMs) {
            suppressed.remove(candidate.address());
            return false;
        }
        if (suppressed.add(candidate.address())) {
            reasons.add(
                    Kind.HELD_UP,
                    candidate.source(),
                    candidate.server(),
                    "returned again, gets no requests for " + (long) (untilMs - nowMs) + " ms");
        }
        return true;
    }

    /** Returns whether a server that is missing from all lists responds and no source reported it draining. */
    private boolean isStillServing(EndpointTable.Entry entry, double nowMs) {
        return responses.hasRecent(entry.address(), nowMs)
                && sources.values().stream().noneMatch(source -> source.hasDeparted(entry.server()));
    }

    /** Marks a server as listed despite the reports; adds the reason only at the first of consecutive updates. */
    private void retain(String address, String source, String server, String reason, DecisionReasons reasons) {
        if (retained.add(address) && !retainedBefore.contains(address)) {
            reasons.add(Kind.KEPT, source, server, reason);
        }
    }
}
