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
 * A membership driven by lines such as {@code 0 whole 5 a b- c?}: time in s, source n unless {@code p:} stands before
 * the verb; a- leaving, a? doubted, a! stopped, a/b server a at the address of b.
 */
final class Script {

    final Membership membership;
    final List<DecisionReason> reasons = new ArrayList<>();
    final Map<String, EndpointState> table = new TreeMap<>();

    Script(MembershipConfig policy) {
        membership = new Membership(policy);
    }

    static ReportedEndpoint told(String word) {
        String id = word.replaceAll("[-?!]|/.*", "");
        ReportedStatus standing = word.contains("-")
                ? ReportedStatus.DRAINING
                : word.contains("?")
                        ? ReportedStatus.SUSPECT
                        : word.contains("!") ? ReportedStatus.STOPPED : ReportedStatus.READY;
        String place = word.contains("/") ? word.substring(word.indexOf('/') + 1) : id;
        return new ReportedEndpoint(
                new Endpoint(id, 0, 0, EndpointState.READY, 0), "h:" + place, standing, "sign of " + id);
    }

    void line(String line) {
        String[] words = line.trim().split(" +");
        double now = Double.parseDouble(words[0]) * 1000;
        boolean other = words[1].startsWith("p:");
        String source = other ? "p" : "n";
        List<String> rest = Arrays.asList(words).subList(2, words.length);
        switch (other ? words[1].substring(2) : words[1]) {
            case "whole" -> on(now, whole(source, rest, true));
            case "unsure" -> on(now, whole(source, rest, false));
            case "tell" ->
                on(
                        now,
                        new SourceUpdate.Changes(
                                source, 0, rest.stream().map(Script::told).toList()));
            case "lost" -> on(now, new SourceUpdate.Lost(source));
            case "seed" -> {
                membership.seed(rest.stream()
                        .map(Script::told)
                        .map(told -> new EndpointUpdate.EndpointAddress(told.endpoint(), told.address()))
                        .toList());
                rest.forEach(id -> table.put(id, EndpointState.READY));
            }
            case "answer" -> rest.forEach(id -> membership.onResponse(now, "h:" + id));
            default -> take(membership.onTick(now));
        }
    }

    private static SourceUpdate whole(String source, List<String> rest, boolean firm) {
        return new SourceUpdate.CompleteList(
                source,
                Long.parseLong(rest.get(0)),
                firm,
                rest.subList(1, rest.size()).stream().map(Script::told).toList());
    }

    void on(double now, SourceUpdate news) {
        take(membership.onUpdate(now, news));
    }

    void take(MembershipChange decided) {
        reasons.addAll(decided.reasons());
        decided.update()
                .ifPresent(changed -> changed.endpoints().forEach(row -> {
                    if (row.endpoint().state() == EndpointState.REMOVED) {
                        table.remove(row.endpoint().server());
                    } else {
                        table.put(row.endpoint().server(), row.endpoint().state());
                    }
                }));
    }

    /** Ready servers as they are, leaving ones with -. */
    String shown() {
        List<String> words = new ArrayList<>();
        table.forEach((id, state) -> words.add(state == EndpointState.READY ? id : id + "-"));
        return String.join(" ", words);
    }
}
