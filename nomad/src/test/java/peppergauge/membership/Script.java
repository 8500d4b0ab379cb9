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
    final List<Reason> reasons = new ArrayList<>();
    final Map<String, EndpointState> table = new TreeMap<>();

    Script(Policy policy) {
        membership = new Membership(policy);
    }

    static Told told(String word) {
        String id = word.replaceAll("[-?!]|/.*", "");
        Standing standing = word.contains("-")
                ? Standing.LEAVING
                : word.contains("?") ? Standing.DOUBTED : word.contains("!") ? Standing.STOPPED : Standing.READY;
        String place = word.contains("/") ? word.substring(word.indexOf('/') + 1) : id;
        return new Told(new Endpoint(id, 0, 0, EndpointState.READY, 0), "h:" + place, standing, "sign of " + id);
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
                        new News.Changes(
                                source, 0, rest.stream().map(Script::told).toList()));
            case "lost" -> on(now, new News.Lost(source));
            case "seed" -> {
                membership.seed(rest.stream()
                        .map(Script::told)
                        .map(told -> new EndpointUpdate.EndpointAddress(told.entry(), told.address()))
                        .toList());
                rest.forEach(id -> table.put(id, EndpointState.READY));
            }
            case "answer" -> rest.forEach(id -> membership.answered(now, "h:" + id));
            default -> take(membership.at(now));
        }
    }

    private static News whole(String source, List<String> rest, boolean firm) {
        return new News.Whole(
                source,
                Long.parseLong(rest.get(0)),
                firm,
                rest.subList(1, rest.size()).stream().map(Script::told).toList());
    }

    void on(double now, News news) {
        take(membership.on(now, news));
    }

    void take(Decided decided) {
        reasons.addAll(decided.reasons());
        decided.table()
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
