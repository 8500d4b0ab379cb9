package peppergauge.lab.compare;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import peppergauge.lab.result.Latency;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.result.RunResult.Second;

/** A metric of a result by which variants are compared. */
public enum Metric {
    SERVICE("service", 1, result -> result.totals().service()),
    WORST_10_S("service, worst 10 s", 1, Metric::worstWindow),
    WORST_CLASS(
            "service, worst class",
            1,
            result -> result.classes().stream()
                    .mapToDouble(kind -> kind.worthAsked() > 0 ? kind.worth() / kind.worthAsked() : 1)
                    .min()
                    .orElse(1)),
    P99("latency p99, ms", -1, result -> percentile(result, 99)),
    LOST(
            "lost per 1,000 requests",
            -1,
            result -> 1e3 * result.totals().lost() / Math.max(1, result.totals().asked())),
    DENIED(
            "denied per 1,000 tries",
            -1,
            result ->
                    1e3 * result.totals().denied() / Math.max(1, result.totals().tries())),
    ATTEMPTS(
            "attempts per request",
            -1,
            result -> (double) result.totals().attempts()
                    / Math.max(1, result.totals().asked()));

    private static final int WINDOW_S = 10;

    private final String label;
    private final int betterSign;
    private final ToDoubleFunction<RunResult> value;

    Metric(String label, int betterSign, ToDoubleFunction<RunResult> value) {
        this.label = label;
        this.betterSign = betterSign;
        this.value = value;
    }

    /** Label with the unit. */
    public String label() {
        return label;
    }

    /** 1 if larger values are better, -1 if smaller values are. */
    public int betterSign() {
        return betterSign;
    }

    public double of(RunResult result) {
        return value.applyAsDouble(result);
    }

    private static double worstWindow(RunResult result) {
        List<Second> seconds = result.seconds().stream()
                .filter(second -> second.second() < result.lengthS())
                .toList();
        double worst = 1;
        for (int i = 0; i < Math.max(1, seconds.size() - WINDOW_S + 1); i++) {
            List<Second> window = seconds.subList(i, Math.min(seconds.size(), i + WINDOW_S));
            double asked = window.stream().mapToDouble(Second::worthAsked).sum();
            worst = asked > 0
                    ? Math.min(worst, window.stream().mapToDouble(Second::worth).sum() / asked)
                    : worst;
        }
        return worst;
    }

    /** Latency percentile over all request classes, ms. */
    private static double percentile(RunResult result, double percent) {
        Histogram all = Latency.empty();
        result.classes().forEach(kind -> all.add(kind.latency().decoded()));
        return all.getTotalCount() == 0 ? 0 : all.getValueAtPercentile(percent) / 1e3;
    }
}
