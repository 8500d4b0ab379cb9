package peppergauge.membership;

import java.util.List;

/**
 * Settings of the section {@code [membership]}; times in milliseconds.
 *
 * @param sources names in order of precedence; at least one
 * @param sourceMode how several sources are combined
 * @param maxLossShare largest share of a source's ready servers, 0 to 1, whose absence from a list is accepted without
 *     confirmation; servers that were reported draining or stopped do not count
 * @param confirmations number of consecutive lists that confirm a larger loss; from 1
 * @param confirmationMs least time between the first and the last of the confirming lists
 * @param failoverMs silence of a source after which the next source takes over
 * @param retentionMs silence of a source after which servers without recent responses are removed, while others respond
 * @param responseWindowMs how long a response counts as recent
 * @param flapThreshold departures within {@code flapWindowMs} from which a return is suppressed; from 1
 * @param flapWindowMs how long a departure counts
 * @param initialSuppressionMs suppression at {@code flapThreshold} departures; doubles with each further departure
 * @param maxSuppressionMs longest suppression
 * @param removalDelayMs how long a departed server is listed as draining before it is removed
 */
public record MembershipConfig(
        List<String> sources,
        SourceMode sourceMode,
        double maxLossShare,
        int confirmations,
        double confirmationMs,
        double failoverMs,
        double retentionMs,
        double responseWindowMs,
        int flapThreshold,
        double flapWindowMs,
        double initialSuppressionMs,
        double maxSuppressionMs,
        double removalDelayMs) {

    /** How several sources are combined. */
    public enum SourceMode {
        /** The first source that responds is used alone. */
        FIRST,
        /** A server is listed if any source lists it, and draining if any source says so. */
        UNION
    }

    /** @throws IllegalArgumentException if a setting is out of range */
    public MembershipConfig {
        sources = List.copyOf(sources);
        require(!sources.isEmpty(), "sources", "one or more", sources);
        require(!(maxLossShare < 0 || maxLossShare > 1), "maxLossShare", "from 0 to 1", maxLossShare);
        require(confirmations >= 1, "confirmations", "at least 1", confirmations);
        require(flapThreshold >= 1, "flapThreshold", "at least 1", flapThreshold);
    }

    private static void require(boolean isInRange, String setting, String range, Object value) {
        if (!isInRange) {
            throw new IllegalArgumentException("membership: expected " + setting + " " + range + " but was " + value);
        }
    }

    /** Returns the defaults of {@code [membership]}. */
    public static MembershipConfig defaults(List<String> sources) {
        return new MembershipConfig(
                sources, SourceMode.FIRST, 0.5, 3, 10_000, 30_000, 3_600_000, 5_000, 3, 60_000, 2_000, 30_000, 10_000);
    }

    /**
     * Returns the longest time from the last wrong update of a source until the endpoint list is correct: a reset
     * version is accepted, then a loss is confirmed, then suppression and removal end.
     *
     * @param updateIntervalMs longest interval between updates of a source
     */
    public double convergenceMs(double updateIntervalMs) {
        double confirmedMs = Math.max(confirmationMs, confirmations * updateIntervalMs) + updateIntervalMs;
        return 2 * confirmedMs + responseWindowMs + Math.max(flapWindowMs, maxSuppressionMs) + removalDelayMs;
    }
}
