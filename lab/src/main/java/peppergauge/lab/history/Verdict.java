package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** What the rules said of one history. */
public final class Verdict {

    /**
     * A rule that was broken.
     *
     * @param atMs from the start of the load
     */
    public record Broken(String rule, double atMs, String about) {}

    /** Of each rule: a broken run may break one of them thousands of times, which must not hide another. */
    private static final int MOST = 50;

    private final long beginNs;
    private final List<Broken> broken = new ArrayList<>();
    private final Map<String, Integer> checked = new TreeMap<>();
    private final Map<String, Integer> excused = new TreeMap<>();

    Verdict(long beginNs) {
        this.beginNs = beginNs;
    }

    void broken(String rule, long atNs, String about) {
        if (broken.stream().filter(one -> one.rule().equals(rule)).count() < MOST) {
            broken.add(new Broken(rule, Math.round((atNs - beginNs) / 1e4) / 1e2, about));
        }
    }

    /** Something that a rule was held against. */
    void checked(String rule) {
        checked.merge(rule, 1, Integer::sum);
    }

    /** Something that would break a rule, had not something that was recorded been its cause. */
    void excused(String rule, String why) {
        excused.merge(rule + ": " + why, 1, Integer::sum);
    }

    public List<Broken> broken() {
        return broken;
    }

    /** The names of the broken rules: what is the same each time, whatever the times were. */
    public Set<String> rules() {
        return broken.stream().map(Broken::rule).collect(Collectors.toSet());
    }

    /** How much each rule was held against. */
    public Map<String, Integer> checked() {
        return checked;
    }

    /** How often each excuse was taken. */
    public Map<String, Integer> excused() {
        return excused;
    }
}
