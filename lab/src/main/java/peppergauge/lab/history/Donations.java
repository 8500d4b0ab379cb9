package peppergauge.lab.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * {@code twice}: what must not run twice is begun once at most, by what the servers themselves recorded, over all tries
 * of its client; and it is not denied, which says that trying again is harmless, if it was begun. There is no excuse.
 */
final class Donations implements Rules.Rule {

    private static final String RULE = "twice";
    private static final Set<String> DENIED = Set.of("503", "429");

    @Override
    public void check(History history, Bounds bounds, Verdict verdict) {
        Set<String> unsafe = history.of(What.ASKED)
                .filter(asked -> asked.text().startsWith("unsafe"))
                .map(Event::id)
                .collect(Collectors.toSet());
        Map<String, List<Event>> begun = history.of(What.BEGUN)
                .filter(event -> unsafe.contains(event.id()))
                .collect(Collectors.groupingBy(Event::wish));
        begun.forEach((wish, times) -> {
            verdict.checked(RULE);
            if (times.size() > 1) {
                verdict.broken(
                        RULE,
                        times.get(1).atNs(),
                        "donation " + wish + " was begun by "
                                + times.stream()
                                        .map(one -> one.who() + " as " + one.id())
                                        .toList());
            }
        });
        Map<String, Event> beginnings = new HashMap<>();
        begun.values().forEach(times -> times.forEach(one -> beginnings.put(one.id(), one)));
        history.of(What.ENDED)
                .filter(end -> DENIED.contains(end.text()) && beginnings.containsKey(end.id()))
                .forEach(end -> verdict.broken(
                        RULE,
                        end.atNs(),
                        "donation " + end.id() + " was denied by " + end.who() + " after "
                                + beginnings.get(end.id()).who() + " had begun it"));
    }
}
