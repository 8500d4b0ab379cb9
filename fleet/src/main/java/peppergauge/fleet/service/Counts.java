package peppergauge.fleet.service;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import peppergauge.fleet.state.Verdict;

/** What became of reports. */
final class Counts {

    private final Map<Verdict, LongAdder> verdicts = new EnumMap<>(Verdict.class);

    Counts() {
        for (Verdict verdict : Verdict.values()) {
            verdicts.put(verdict, new LongAdder());
        }
    }

    void count(Verdict verdict) {
        verdicts.get(verdict).increment();
    }

    static String word(Verdict verdict) {
        return verdict.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    Map<String, Long> report() {
        Map<String, Long> report = new TreeMap<>();
        verdicts.forEach((verdict, count) -> report.put(word(verdict), count.sum()));
        return report;
    }
}
