package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The outcome of checking all rules over one history. */
public final class Verdict {

    /**
     * One violation of a rule.
     *
     * @param atMs time since the start of the load
     */
    public record Broken(String rule, double atMs, String about) {}

    /** The excuse for what was late by no more than the machine delayed the lab's threads or the process itself. */
    static final String SCHEDULING_DELAY = "scheduling delay of the machine";

    /** Limit for each rule: a run may break one rule thousands of times, which must not hide another rule. */
    private static final int MAX_BROKEN_PER_RULE = 50;

    private final long beginNs;
    private final List<Broken> broken = new ArrayList<>();
    private final Map<String, Integer> checked = new TreeMap<>();
    private final Map<String, Integer> excused = new TreeMap<>();

    Verdict(long beginNs) {
        this.beginNs = beginNs;
    }

    /** Adds a violation, unless the rule already has the most that are kept. */
    void addBroken(String rule, long atNs, String about) {
        if (broken.stream().filter(violation -> violation.rule().equals(rule)).count() < MAX_BROKEN_PER_RULE) {
            broken.add(new Broken(rule, Math.round((atNs - beginNs) / 1e4) / 1e2, about));
        }
    }

    /** Counts one check of a rule. */
    void countChecked(String rule) {
        checked.merge(rule, 1, Integer::sum);
    }

    /** Counts a violation that is excused, since a recorded event was its cause. */
    void countExcused(String rule, String excuse) {
        excused.merge(rule + ": " + excuse, 1, Integer::sum);
    }

    public List<Broken> broken() {
        return broken;
    }

    /** Returns the names of the broken rules. Unlike the times, they are the same in each run of one scenario. */
    public Set<String> rules() {
        return broken.stream().map(Broken::rule).collect(Collectors.toSet());
    }

    /** Returns how often each rule was checked. */
    public Map<String, Integer> checked() {
        return checked;
    }

    /** Returns how often each excuse applied, by rule and excuse. */
    public Map<String, Integer> excused() {
        return excused;
    }
}
