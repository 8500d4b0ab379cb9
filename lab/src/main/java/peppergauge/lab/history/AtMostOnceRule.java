package peppergauge.lab.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Rule {@code twice}: a request that is not idempotent is executed at most once over all tries of its client, according
 * to the records of the backend servers. It must not be rejected once a server began to execute it, since a rejection
 * says that a retry is harmless. This rule has no excuses.
 */
final class AtMostOnceRule implements HistoryRules.Rule {

    private static final String RULE = "twice";
    private static final Set<String> REJECTED = Set.of("503", "429");

    @Override
    public void check(History history, RuleLimits limits, Verdict verdict) {
        Set<String> unsafe = history.of(EventKind.ASKED)
                .filter(asked -> asked.text().startsWith("unsafe"))
                .map(Event::id)
                .collect(Collectors.toSet());
        Map<String, List<Event>> executions = history.of(EventKind.BEGUN)
                .filter(event -> unsafe.contains(event.id()))
                .collect(Collectors.groupingBy(Event::wish));
        executions.forEach((request, starts) -> {
            verdict.countChecked(RULE);
            if (starts.size() > 1) {
                verdict.addBroken(
                        RULE,
                        starts.get(1).atNs(),
                        "unsafe request " + request + " was executed more than once: "
                                + starts.stream()
                                        .map(start -> start.who() + " as " + start.id())
                                        .toList());
            }
        });
        Map<String, Event> startsById = new HashMap<>();
        executions.values().forEach(starts -> starts.forEach(start -> startsById.put(start.id(), start)));
        history.of(EventKind.ENDED)
                .filter(end -> REJECTED.contains(end.text()) && startsById.containsKey(end.id()))
                .forEach(end -> verdict.addBroken(
                        RULE,
                        end.atNs(),
                        "unsafe request " + end.id() + " was rejected by " + end.who() + " after "
                                + startsById.get(end.id()).who() + " had begun to execute it"));
    }
}
