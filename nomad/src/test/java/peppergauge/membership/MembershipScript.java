package peppergauge.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate;

/**
 * Drives a {@link Membership} by lines such as {@code 0 list 5 a b- c?}: time in s, verb, version and servers. The
 * source is n, or p if the verb has the prefix {@code p:}. Verbs are list, stale (a list that is not authoritative),
 * change, lost, seed, response and tick; only list and stale have a version. A server {@code a} is ready, {@code a-}
 * draining, {@code a?} suspect and {@code a!} stopped; {@code a/b} is server a at the address of b.
 */
final class MembershipScript {

    final Membership membership;
    final List<DecisionReason> reasons = new ArrayList<>();
    /** State of each published server, by id. */
    final Map<String, EndpointState> table = new TreeMap<>();

    MembershipScript(MembershipConfig config) {
        membership = new Membership(config);
    }

    /** Parses a server, such as {@code a-} or {@code a/b}. */
    static ReportedEndpoint reported(String word) {
        String id = word.replaceAll("[-?!]|/.*", "");
        ReportedStatus status = word.contains("-")
                ? ReportedStatus.DRAINING
                : word.contains("?")
                        ? ReportedStatus.SUSPECT
                        : word.contains("!") ? ReportedStatus.STOPPED : ReportedStatus.READY;
        String host = word.contains("/") ? word.substring(word.indexOf('/') + 1) : id;
        return new ReportedEndpoint(
                new Endpoint(id, 0, 0, EndpointState.READY, 0), "h:" + host, status, "sign of " + id);
    }

    /** Runs one line. */
    void run(String line) {
        String[] words = line.trim().split(" +");
        double nowMs = Double.parseDouble(words[0]) * 1000;
        boolean isSecondSource = words[1].startsWith("p:");
        String source = isSecondSource ? "p" : "n";
        List<String> rest = Arrays.asList(words).subList(2, words.length);
        switch (isSecondSource ? words[1].substring(2) : words[1]) {
            case "list" -> update(nowMs, completeList(source, rest, true));
            case "stale" -> update(nowMs, completeList(source, rest, false));
            case "change" ->
                update(
                        nowMs,
                        new SourceUpdate.Changes(
                                source,
                                0,
                                rest.stream().map(MembershipScript::reported).toList()));
            case "lost" -> update(nowMs, new SourceUpdate.Lost(source));
            case "seed" -> {
                membership.seed(rest.stream()
                        .map(MembershipScript::reported)
                        .map(each -> new EndpointUpdate.EndpointAddress(each.endpoint(), each.address()))
                        .toList());
                rest.forEach(id -> table.put(id, EndpointState.READY));
            }
            case "response" -> rest.forEach(id -> membership.onResponse(nowMs, "h:" + id));
            case "tick" -> apply(membership.onTick(nowMs));
            default -> throw new IllegalArgumentException("unknown verb: " + line);
        }
    }

    private static SourceUpdate completeList(String source, List<String> rest, boolean authoritative) {
        return new SourceUpdate.CompleteList(
                source,
                Long.parseLong(rest.get(0)),
                authoritative,
                rest.subList(1, rest.size()).stream()
                        .map(MembershipScript::reported)
                        .toList());
    }

    private void update(double nowMs, SourceUpdate update) {
        apply(membership.onUpdate(nowMs, update));
    }

    private void apply(MembershipChange change) {
        reasons.addAll(change.reasons());
        change.update()
                .ifPresent(update -> update.endpoints().forEach(changed -> {
                    if (changed.endpoint().state() == EndpointState.REMOVED) {
                        table.remove(changed.endpoint().server());
                    } else {
                        table.put(
                                changed.endpoint().server(), changed.endpoint().state());
                    }
                }));
    }

    /** Returns the published servers; a draining server has the suffix -. */
    String describeTable() {
        List<String> words = new ArrayList<>();
        table.forEach((id, state) -> words.add(state == EndpointState.READY ? id : id + "-"));
        return String.join(" ", words);
    }
}
