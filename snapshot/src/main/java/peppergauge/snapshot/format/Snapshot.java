package peppergauge.snapshot.format;

import java.util.Map;
import peppergauge.decision.LearnedState;

/**
 * The content of one snapshot file.
 *
 * @param writer version of the program that wrote it, for people only
 * @param name of the sidecar that learned it
 * @param settingsDigest digest of the settings that the statistics depend on, 64 hexadecimal digits
 * @param wallMs when it was learned, ms since 1970 by the wall clock
 * @param state what was learned
 * @param addresses by server id, of the servers in {@code state}
 */
public record Snapshot(
        String writer,
        String name,
        String settingsDigest,
        long wallMs,
        LearnedState state,
        Map<String, String> addresses) {

    public Snapshot {
        addresses = Map.copyOf(addresses);
    }
}
