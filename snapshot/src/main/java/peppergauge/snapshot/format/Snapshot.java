package peppergauge.snapshot.format;

import java.util.Map;
import peppergauge.decision.LearnedState;

/**
 * What one file holds.
 *
 * @param writer version of the program that wrote it, for people only
 * @param name of the sidecar that learned it
 * @param settings digest of the settings that give the figures meaning, 32 bytes as 64 hexadecimal digits
 * @param wallMs when it was learned, ms since 1970 by the wall clock
 * @param addresses by server id, of the servers in {@code learned}
 */
public record Snapshot(
        String writer, String name, String settings, long wallMs, LearnedState learned, Map<String, String> addresses) {

    public Snapshot {
        addresses = Map.copyOf(addresses);
    }
}
