package peppergauge.plugin;

import java.util.ArrayList;
import java.util.List;
import peppergauge.plugin.rules.Chain;

/** All plug-ins of one reading of the file. Sessions that began with a plan end with it. For the loop's thread. */
final class Plan {

    static final Plan EMPTY = new Plan(List.of(), List.of());

    /** The plug-ins for one class of sessions, and their chain. */
    record Line(Chain chain, List<Installed> plugins) {}

    private final List<Installed> all;
    private final List<Line> lines = new ArrayList<>();
    final boolean countsAnswers;
    private int thinking;
    private boolean retired;

    /** @param classes names, in the settings' order */
    Plan(List<Installed> all, List<String> classes) {
        this.all = List.copyOf(all);
        countsAnswers = all.stream().anyMatch(plugin -> plugin.countsAnswers);
        for (String name : classes) {
            List<Installed> asked = all.stream()
                    .filter(plugin -> plugin.spec.classes().isEmpty()
                            || plugin.spec.classes().contains(name))
                    .toList();
            lines.add(
                    new Line(new Chain(asked.stream().map(plugin -> plugin.rule).toList()), asked));
        }
    }

    Line line(int requestClass) {
        return lines.get(requestClass);
    }

    List<Installed> all() {
        return all;
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    void began() {
        thinking++;
    }

    void ended() {
        thinking--;
        retireIfDone();
    }

    /** No session begins with it any more; its threads end with the last call. */
    void retire() {
        retired = true;
        retireIfDone();
    }

    private void retireIfDone() {
        if (retired && thinking == 0) {
            all.forEach(plugin -> plugin.crew.retire());
        }
    }
}
