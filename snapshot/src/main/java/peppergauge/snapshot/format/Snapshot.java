package peppergauge.snapshot.format;

import java.util.Map;
import peppergauge.decision.LearnedState;

/**
 * The content of one snapshot file.
 *
 * @param writer version of the program that wrote the file, for information only
 * @param name name of the sidecar that learned the state
 * @param settingsDigest digest of the settings that the statistics depend on, 64 hexadecimal digits
 * @param wallMs wall-clock time at which the state was collected, ms since 1970
 * @param state learned state
 * @param addresses addresses of the servers in {@code state}, by server id
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
