package peppergauge.snapshot.restore;

import java.util.Locale;
import peppergauge.snapshot.format.Snapshot;

/**
 * Whether a snapshot may be restored at a start.
 *
 * @param usable whether it may be restored
 * @param reason why it may not be restored; the age of the snapshot if it may
 * @param ageMs time since the state was learned; meaningless unless usable
 */
public record SnapshotEligibility(boolean usable, String reason, double ageMs) {

    /** A snapshot that is dated in the future by less than this is accepted, since clock corrections are that large. */
    private static final double CLOCK_TOLERANCE_MS = 50;

    /**
     * Checks a snapshot.
     *
     * @param name name of this sidecar
     * @param settingsDigest digest of this sidecar's settings
     * @param nowMs wall-clock time, ms since 1970
     * @param maxAgeMs age from which on a snapshot is not restored
     */
    public static SnapshotEligibility of(
            Snapshot snapshot, String name, String settingsDigest, double nowMs, double maxAgeMs) {
        double ageMs = nowMs - snapshot.wallMs();
        if (!snapshot.name().equals(name)) {
            return new SnapshotEligibility(false, "it belongs to sidecar " + snapshot.name(), ageMs);
        }
        if (!snapshot.settingsDigest().equals(settingsDigest)) {
            return new SnapshotEligibility(false, "it was learned with different settings", ageMs);
        }
        if (ageMs < -CLOCK_TOLERANCE_MS) {
            return new SnapshotEligibility(
                    false, "it is dated " + formatDuration(-ageMs) + " in the future: a clock was set back", ageMs);
        }
        if (!(ageMs < maxAgeMs)) {
            return new SnapshotEligibility(
                    false,
                    "it is " + formatDuration(ageMs) + " old, the maximum age is " + formatDuration(maxAgeMs),
                    ageMs);
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
