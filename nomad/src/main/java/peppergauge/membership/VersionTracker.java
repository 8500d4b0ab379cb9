package peppergauge.membership;

import peppergauge.membership.DecisionReason.Kind;

/**
 * Tracks the version of one source's lists. A lower version is ignored at first. It is accepted once it was reported
 * often and long enough, because the source's counter must have been reset. All times in milliseconds.
 */
final class VersionTracker {

    private final String source;
    private final MembershipConfig config;
    private long version = Long.MIN_VALUE;
    private long olderVersion;
    private int olderLists;
    private double olderSinceMs;

    VersionTracker(String source, MembershipConfig config) {
        this.source = source;
        this.config = config;
    }

    /** Records the version of a change; a version below the present one has no effect. */
    void advanceTo(long reported) {
        version = Math.max(version, reported);
    }

    /** Processes the version of a list; returns whether the list is accepted. */
    boolean accept(long listed, double nowMs, DecisionReasons reasons) {
        if (listed >= version) {
            version = listed;
            olderLists = 0;
            return true;
        }
        countOlder(listed, nowMs);
        if (olderLists >= config.confirmations() && nowMs - olderSinceMs >= config.confirmationMs()) {
            reasons.add(
                    Kind.OLDER,
                    source,
                    "",
                    "version " + listed + " replaces " + version + ": reported " + olderLists + " times in "
                            + (long) (nowMs - olderSinceMs) + " ms");
            version = listed;
            olderLists = 0;
            return true;
        }
        reasons.add(
                Kind.OLDER,
                source,
                "",
                "a list of version " + listed + " after " + version + " was ignored; accepted if reported "
                        + config.confirmations() + " times over at least " + (long) config.confirmationMs() + " ms");
        return false;
    }

    private void countOlder(long listed, double nowMs) {
        if (olderLists == 0 || listed < olderVersion) {
            olderLists = 0;
            olderSinceMs = nowMs;
        }
        olderVersion = listed;
        olderLists++;
    }
}
