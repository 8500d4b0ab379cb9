package peppergauge.forecast.accuracy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import peppergauge.forecast.hitrate.HitRate;

/**
 * Tracks the accuracy of forecasts and decides whether the next one is trusted.
 *
 * <p>Trust is lost when, of the last {@value #MAX_OUTCOMES} outcomes, more than {@value #MAX_MISSES} missed their
 * interval, or when the mean error exceeds that of the baseline (a forecast of no change) by more than a tolerance. It
 * is regained after {@value #OUTCOMES_TO_REGAIN} outcomes in a row of which at most one missed, with a mean error
 * within the tolerance. Observations are estimates: their standard error widens both the interval and the tolerance.
 * Not thread-safe.
 */
public final class ForecastAccuracy {

    static final int MAX_OUTCOMES = 20;
    static final int OUTCOMES_TO_REGAIN = 10;
    private static final int MAX_MISSES = 5;
    private static final int MIN_OUTCOMES = 6;
    private static final double ERROR_TOLERANCE = 0.01;

    private final Deque<Outcome> outcomes = new ArrayDeque<>();
    private boolean trusted = true;

    /**
     * One forecast compared with the observation. Stored as JSON under these names.
     *
     * @param held whether the widened interval contained the observation
     * @param off distance of the forecast from it
     * @param plainOff distance of the baseline from it
     * @param error standard error of the observation
     */
    public record Outcome(boolean held, double off, double plainOff, double error) {

        public Outcome {
            if (!(off >= 0 && off <= 1 && plainOff >= 0 && plainOff <= 1 && error >= 0 && error <= 1)) {
                throw new IllegalArgumentException("expected errors from 0 to 1 but was off=" + off + ", plainOff="
                        + plainOff + ", error=" + error);
            }
        }
    }

    /**
     * Stored state. Written as JSON under these names.
     *
     * @param last outcomes on which trust depends, the newest last
     */
    public record PersistedAccuracy(boolean trusted, List<Outcome> last) {

        public PersistedAccuracy {
            last = List.copyOf(last);
            if (last.size() > maxOutcomes(trusted)) {
                throw new IllegalArgumentException(
                        "expected at most " + maxOutcomes(trusted) + " outcomes but was " + last.size());
            }
        }

        /** Returns this state with the newest outcomes only. */
        public PersistedAccuracy newest(int count) {
            return new PersistedAccuracy(trusted, last.subList(Math.max(0, last.size() - count), last.size()));
        }
    }

    /** Returns the state for storage. */
    public PersistedAccuracy exportState() {
        return new PersistedAccuracy(trusted, List.copyOf(outcomes));
    }

    /** Restores stored state. */
    public void importState(PersistedAccuracy stored) {
        outcomes.clear();
        outcomes.addAll(stored.last());
        trusted = stored.trusted();
    }

    /** Records an outcome that is known exactly. */
    public void record(HitRate forecast, double before, double observed) {
        record(forecast, before, observed, 0);
    }

    /**
     * Records an outcome.
     *
     * @param forecast made before the change
     * @param before hit rate observed before the change: the baseline
     * @param observed hit rate observed after the change
     * @param error standard error of the observation
     * @return whether the widened interval contains the observation
     */
    public boolean record(HitRate forecast, double before, double observed, double error) {
        boolean held = forecast.widenedBy(error).contains(observed);
        outcomes.addLast(new Outcome(held, Math.abs(forecast.mean() - observed), Math.abs(before - observed), error));
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.removeFirst();
        }
        boolean worseThanBaseline = outcomes.size() >= MIN_OUTCOMES && meanError() > meanBaselineError() + tolerance();
        if (trusted && (misses() > MAX_MISSES || worseThanBaseline)) {
            trusted = false;
            // Only outcomes from now on count for regaining trust.
            outcomes.clear();
        } else if (!trusted && outcomes.size() >= OUTCOMES_TO_REGAIN) {
            trusted = misses() <= 1 && meanError() <= meanBaselineError() + tolerance();
            if (!trusted) {
                outcomes.removeFirst();
            }
        }
        assert outcomes.size() <= maxOutcomes(trusted)
                : "expected at most " + maxOutcomes(trusted) + " outcomes but was " + outcomes.size();
        return held;
    }

    private static int maxOutcomes(boolean trusted) {
        return trusted ? MAX_OUTCOMES : OUTCOMES_TO_REGAIN - 1;
    }

    private double tolerance() {
        return ERROR_TOLERANCE
                + outcomes.stream().mapToDouble(Outcome::error).average().orElse(0);
    }

    /** Returns whether the next forecast is trusted. */
    public boolean isTrusted() {
        return trusted;
    }

    /** Returns a forecast, or {@link HitRate#UNKNOWN} if forecasts are not trusted. */
    public HitRate ifTrusted(HitRate forecast) {
        return trusted ? forecast : HitRate.UNKNOWN;
    }

    /** Returns the mean error of the last forecasts. */
    public double meanError() {
        return outcomes.stream().mapToDouble(Outcome::off).average().orElse(0);
    }

    /** Returns the mean error of the baseline. */
    public double meanBaselineError() {
        return outcomes.stream().mapToDouble(Outcome::plainOff).average().orElse(0);
    }

    private long misses() {
        return outcomes.stream().filter(outcome -> !outcome.held()).count();
    }
}
