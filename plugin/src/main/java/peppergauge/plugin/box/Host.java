package peppergauge.plugin.box;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What a plug-in reaches through its imports; shared by its instances, and called on their threads.
 *
 * @param config what the file says under {@code settings}
 * @param epochMs the wall clock, ms
 * @param random any 64 bits
 * @param log takes a line; the limit on their number is its own matter
 */
public record Host(
        Map<String, String> config,
        LongSupplier epochMs,
        LongSupplier random,
        Counters counters,
        Store store,
        Consumer<String> log) {

    public Host {
        config = Map.copyOf(config);
    }
}
