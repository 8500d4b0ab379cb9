package peppergauge.fleet.service;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import peppergauge.fleet.state.ReportVerdict;

/** Counts reports by verdict. Thread-safe. */
final class ReportCounters {

    private final Map<ReportVerdict, LongAdder> verdicts = new EnumMap<>(ReportVerdict.class);

    ReportCounters() {
        for (ReportVerdict verdict : ReportVerdict.values()) {
            verdicts.put(verdict, new LongAdder());
        }
    }

    void increment(ReportVerdict verdict) {
        verdicts.get(verdict).increment();
    }

    /** Returns the text of a verdict in responses to daemons. */
    static String textOf(ReportVerdict verdict) {
        return verdict.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the counts by text of the verdict. */
    Map<String, Long> snapshot() {
        Map<String, Long> snapshot = new TreeMap<>();
        verdicts.forEach((verdict, count) -> snapshot.put(textOf(verdict), count.sum()));
        return snapshot;
    }
}
