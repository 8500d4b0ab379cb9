package peppergauge.lab.compare;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.Latency;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.Second;

/** What is compared of two results. */
public enum Figure {
    SERVICE("service", 1, result -> result.totals().service()),
    WORST_10_S("service, worst 10 s", 1, Figure::worstSpan),
    WORST_CLASS(
            "service, worst class",
            1,
            result -> result.classes().stream()
                    .mapToDouble(kind -> kind.worthAsked() > 0 ? kind.worth() / kind.worthAsked() : 1)
                    .min()
                    .orElse(1)),
    P99("latency at 99%, ms", -1, result -> percentile(result, 99)),
    LOST(
            "lost of 1,000",
            -1,
            result -> 1e3 * result.totals().lost() / Math.max(1, result.totals().asked())),
    DENIED(
            "denials of 1,000 tries",
            -1,
            result ->
                    1e3 * result.totals().denied() / Math.max(1, result.totals().tries())),
    ATTEMPTS(
            "attempts a request",
            -1,
            result -> (double) result.totals().attempts()
                    / Math.max(1, result.totals().asked()));

    private static final int SPAN_S = 10;

    private final String words;
    private final int better;
    private final ToDoubleFunction<RunResult> of;

    Figure(String words, int better, ToDoubleFunction<RunResult> of) {
        this.words = words;
        this.better = better;
        this.of = of;
    }

    /** For people, with the unit. */
    public String words() {
        return words;
    }

    /** 1 if more is better, -1 if less is. */
    public int better() {
        return better;
    }

    public double of(RunResult result) {
        return of.applyAsDouble(result);
    }

    private static double worstSpan(RunResult result) {
        List<Second> seconds = result.seconds().stream()
                .filter(second -> second.second() < result.lengthS())
                .toList();
        double worst = 1;
        for (int i = 0; i < Math.max(1, seconds.size() - SPAN_S + 1); i++) {
            List<Second> span = seconds.subList(i, Math.min(seconds.size(), i + SPAN_S));
            double asked = span.stream().mapToDouble(Second::worthAsked).sum();
            worst = asked > 0
                    ? Math.min(worst, span.stream().mapToDouble(Second::worth).sum() / asked)
                    : worst;
        }
        return worst;
    }

    /** Over all classes. */
    private static double percentile(RunResult result, double percent) {
        Histogram all = Latency.empty();
        result.classes().forEach(kind -> all.add(kind.latency().decoded()));
        return all.getTotalCount() == 0 ? 0 : all.getValueAtPercentile(percent) / 1e3;
    }
}
