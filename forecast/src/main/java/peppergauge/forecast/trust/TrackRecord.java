package peppergauge.forecast.trust;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import peppergauge.forecast.hits.HitRate;

/**
 * Holds forecasts against what followed, and says whether the next is to be listened to. Forecasts lose their say when,
 * of the last {@value #LAST}, six or more missed their interval (which happens to right ones once in a hundred such
 * rows) or were further off in the mean than to say that nothing changes, by over 0.01. They get it back after
 * {@value #AGAIN} in a row of which at most one missed, and which were no further off than that.
 *
 * <p>What followed may be known by an estimate only. The interval is then widened by its error, and to be further off
 * takes as much more: an estimate's noise must cost no say.
 */
public final class TrackRecord {

    static final int LAST = 20;
    static final int AGAIN = 10;
    private static final int MOST_MISSED = 5;
    private static final int LEAST = 6;
    private static final double CLOSE = 0.01;

    private final Deque<Outcome> last = new ArrayDeque<>();
    private boolean trusted = true;

    /** One forecast, held against what followed. */
    public record Outcome(boolean held, double off, double plainOff, double error) {

        public Outcome {
            if (!(off >= 0 && off <= 1 && plainOff >= 0 && plainOff <= 1 && error >= 0 && error <= 1)) {
                throw new IllegalArgumentException(
                        "off by " + off + " and " + plainOff + ", with an error of " + error);
            }
        }
    }

    /**
     * All that the say hangs on.
     *
     * @param last outcomes that count, the newest last
     */
    public record Kept(boolean trusted, List<Outcome> last) {

        public Kept {
            last = List.copyOf(last);
            if (last.size() > (trusted ? LAST : AGAIN - 1)) {
                throw new IllegalArgumentException(last.size() + " outcomes are kept");
            }
        }

        /** With so many of the newest at most. */
        public Kept newest(int most) {
            return new Kept(trusted, last.subList(Math.max(0, last.size() - most), last.size()));
        }
    }

    /** For a record that goes on from here. */
    public Kept kept() {
        return new Kept(trusted, List.copyOf(last));
    }

    /** Goes on from there. */
    public void restore(Kept kept) {
        last.clear();
        last.addAll(kept.last());
        trusted = kept.trusted();
    }

    /** As below, where what followed is known for sure. */
    public void followed(HitRate said, double before, double seen) {
        followed(said, before, seen, 0);
    }

    /**
     * @param said before the change
     * @param before what was seen before it: what is said by who says that nothing changes
     * @param seen after it
     * @param error standard error of what was seen
     * @return whether it held
     */
    public boolean followed(HitRate said, double before, double seen, double error) {
        boolean held = said.seenWith(error).holds(seen);
        last.addLast(new Outcome(held, Math.abs(said.mean() - seen), Math.abs(before - seen), error));
        if (last.size() > LAST) {
            last.removeFirst();
        }
        boolean worse = last.size() >= LEAST && off() > plainOff() + close();
        if (trusted && (missed() > MOST_MISSED || worse)) {
            trusted = false;
            // Only what comes from now on can bring the say back.
            last.clear();
        } else if (!trusted && last.size() >= AGAIN) {
            trusted = missed() <= 1 && off() <= plainOff() + close();
            if (!trusted) {
                last.removeFirst();
            }
        }
        assert last.size() <= (trusted ? LAST : AGAIN - 1) : last.size() + " outcomes are kept";
        return held;
    }

    private double close() {
        return CLOSE + last.stream().mapToDouble(Outcome::error).average().orElse(0);
    }

    /** Whether the next forecast counts. */
    public boolean trusted() {
        return trusted;
    }

    /** The forecast, or that nothing is known while it has no say. */
    public HitRate heard(HitRate said) {
        return trusted ? said : HitRate.UNKNOWN;
    }

    /** Mean distance of the last forecasts from what followed. */
    public double off() {
        return last.stream().mapToDouble(Outcome::off).average().orElse(0);
    }

    /** The same of the forecast that nothing changes. */
    public double plainOff() {
        return last.stream().mapToDouble(Outcome::plainOff).average().orElse(0);
    }

    private long missed() {
        return last.stream().filter(outcome -> !outcome.held()).count();
    }
}
