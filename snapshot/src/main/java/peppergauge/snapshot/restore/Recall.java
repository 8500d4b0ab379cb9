package peppergauge.snapshot.restore;

import java.util.Locale;
import peppergauge.snapshot.format.Snapshot;

/**
 * Whether a whole file may be used at a start.
 *
 * @param why for the people on call: what keeps it from use, else how old it is
 * @param ageMs how long ago it was learned, ms; of no use where it is not taken
 */
public record Recall(boolean taken, String why, double ageMs) {

    /** A clock set back by less than this is no reason: machines' clocks are corrected by so much all the time. */
    private static final double CLOCK_SLACK_MS = 50;

    /**
     * @param name this sidecar's
     * @param settings digest of this sidecar's settings
     * @param nowMs the wall clock, ms since 1970
     * @param mostAgeMs from this age on it is not used, ms
     */
    public static Recall of(Snapshot snapshot, String name, String settings, double nowMs, double mostAgeMs) {
        double ageMs = nowMs - snapshot.wallMs();
        if (!snapshot.name().equals(name)) {
            return new Recall(false, "it is of sidecar " + snapshot.name(), ageMs);
        }
        if (!snapshot.settings().equals(settings)) {
            return new Recall(false, "it was learned under other settings", ageMs);
        }
        if (ageMs < -CLOCK_SLACK_MS) {
            return new Recall(false, "it is " + span(-ageMs) + " from the future: a clock was set back", ageMs);
        }
        if (!(ageMs < mostAgeMs)) {
            return new Recall(false, "it is " + span(ageMs) + " old, more than " + span(mostAgeMs), ageMs);
        }
        return new Recall(true, "learned " + span(ageMs) + " ago", Math.max(0, ageMs));
    }

    /** A time for people: in the unit in which it is at least 2. */
    static String span(double ms) {
        double[] units = {1, 1_000, 60_000, 3_600_000, 86_400_000};
        String[] names = {"ms", "s", "min", "h", "days"};
        int unit = 0;
        while (unit + 1 < units.length && ms >= 2 * units[unit + 1]) {
            unit++;
        }
        return String.format(Locale.ROOT, "%.0f %s", ms / units[unit], names[unit]);
    }
}
