package peppergauge.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.membership.DecisionReason.Kind;
import peppergauge.membership.MembershipConfig.SourceMode;

/** Chooses the sources that are used and merges their servers. All times in milliseconds. */
final class SourceMerger {

    private final MembershipConfig config;
    /** Sources in order of precedence. */
    private final Collection<SourceState> sources;

    private final RecentResponses responses;
    /** The source in use in mode FIRST; null before any has reported. */
    private SourceState activeSource;

    SourceMerger(MembershipConfig config, Collection<SourceState> sources, RecentResponses responses) {
        this.config = config;
        this.sources = sources;
        this.responses = responses;
    }

    /** Returns the servers to list, by address. */
    Map<String, Candidate> merge(double nowMs, DecisionReasons reasons) {
        Map<String, Candidate> candidates = new LinkedHashMap<>();
        Map<String, String> addresses = new HashMap<>();
        boolean anyResponds = responses.hasAnyRecent(nowMs);
        List<SourceState> used = usedSources(nowMs, reasons);
        for (SourceState source : used) {
            boolean isExpired = source.silentForMs(nowMs) > config.retentionMs();
            for (ReportedEndpoint reported : source.servers()) {
                if (isExpired && anyResponds && !responses.hasRecent(reported.address(), nowMs)) {
                    continue;
                }
                String address = addresses.putIfAbsent(reported.server(), reported.address());
                if (address != null && !address.equals(reported.address())) {
                    // Sources disagree about the server's address: the first source has precedence.
                    continue;
                }
                Candidate candidate = new Candidate(reported, source.name(), mergedStatus(reported, source, used));
                candidates.merge(
                        reported.address(), candidate, (first, second) -> first.withWorstStatus(second.status()));
            }
        }
        return candidates;
    }

    private static ReportedStatus mergedStatus(ReportedEndpoint reported, SourceState source, List<SourceState> used) {
        boolean hasDeparted = used.stream().anyMatch(other -> other != source && other.hasDeparted(reported, source));
        return hasDeparted ? ReportedStatus.DRAINING : reported.status();
    }

    private List<SourceState> usedSources(double nowMs, DecisionReasons reasons) {
        List<SourceState> reporting =
                sources.stream().filter(SourceState::hasReported).toList();
        if (config.sourceMode() == SourceMode.UNION || reporting.isEmpty()) {
            return reporting;
        }
        SourceState first = firstSource(nowMs, reporting);
        if (first != activeSource) {
            String replaced = activeSource == null ? "" : " instead of " + activeSource.name();
            reasons.add(Kind.SOURCE, first.name(), "", "is used from now on" + replaced);
            activeSource = first;
        }
        return List.of(first);
    }

    /** Returns the first responding source with active servers, or else the active source, or else the first source. */
    private SourceState firstSource(double nowMs, List<SourceState> reporting) {
        List<SourceState> responding = reporting.stream()
                .filter(source -> source.silentForMs(nowMs) < config.failoverMs())
                .toList();
        return responding.stream()
                .filter(SourceState::hasActiveServer)
                .findFirst()
                .orElseGet(() -> {
                    if (activeSource != null) {
                        return activeSource;
                    }
                    return responding.isEmpty() ? reporting.get(0) : responding.get(0);
                });
    }
}
