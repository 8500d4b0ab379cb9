package peppergauge.fleet.reader;

import java.util.List;
import peppergauge.fleet.table.TableReader;

/**
 * A daemon's settings; {@code [fleet]} of its file says what each is for.
 *
 * @param addresses host:port each
 * @param sampledKeys as {@link SampledKeys#of} takes it
 */
public record ReaderSettings(
        String site,
        List<String> addresses,
        boolean steers,
        long firstMs,
        long longestMs,
        long patienceMs,
        TableReader.Bounds bounds,
        int sampledKeys) {}
