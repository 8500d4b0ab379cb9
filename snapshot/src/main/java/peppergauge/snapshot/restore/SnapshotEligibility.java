package peppergauge.snapshot.restore;

import java.util.Locale;
import peppergauge.snapshot.format.Snapshot;

/**
 * Whether a snapshot may be used at a start.
 *
 * @param usable whether it may
 * @param reason why not, else how old it is
 * @param ageMs how long ago it was learned; meaningless unless usable
 */
public record SnapshotEligibility(boolean usable, String reason, double ageMs) {

    /** A snapshot from the future by less than this is accepted: clock corrections are of this size. */
    private static final double CLOCK_TOLERANCE_MS = 50;

    /**
     * Judges a snapshot.
     *
     * @param name this sidecar's
     * @param settingsDigest digest of this sidecar's settings
     * @param nowMs the wall clock, ms since 1970
     * @param maxAgeMs from this age on it is not used
     */
    public static SnapshotEligibility of(
            Snapshot snapshot, String name, String settingsDigest, double nowMs, double maxAgeMs) {
        double ageMs = nowMs - snapshot.wallMs();
        if (!snapshot.name().equals(name)) {
            return new SnapshotEligibility(false, "it is of sidecar " + snapshot.name(), ageMs);
        }
        if (!snapshot.settingsDigest().equals(settingsDigest)) {
            return new SnapshotEligibility(false, "it was learned under other settings", ageMs);
        }
        if (ageMs < -CLOCK_TOLERANCE_MS) {
            return new SnapshotEligibility(
                    false, "it is " + formatDuration(-ageMs) + " from the future: a clock was set back", ageMs);
        }
        if (!(ageMs < maxAgeMs)) {
            return new SnapshotEligibility(
                    false, "it is " + formatDuration(ageMs) + " old, more than " + formatDuration(maxAgeMs), ageMs);
        }
        return new SnapshotEligibility(true, "learned " + formatDuration(ageMs) + " ago", Math.max(0, ageMs));
    }

    /** Formats a duration in the largest unit in which it is at least 2. */
    static String formatDuration(double ms) {
        double[] units = {1, 1_000, 60_000, 3_600_000, 86_400_000};
        String[] names = {"ms", "s", "min", "h", "days"};
        int unit = 0;
        while (unit + 1 < units.length && ms >= 2 * units[unit + 1]) {
            unit++;
        }
        return String.format(Locale.ROOT, "%.0f %s", ms / units[unit], names[unit]);
    }
}
