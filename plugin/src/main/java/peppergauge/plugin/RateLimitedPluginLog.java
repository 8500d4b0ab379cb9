package peppergauge.plugin;

import java.util.function.Consumer;
import peppergauge.log.Log;

/** Logs the lines of one plug-in, at most one per second, with the number of dropped lines. Thread-safe. */
final class RateLimitedPluginLog implements Consumer<String> {

    private final String plugin;
    private long second = Long.MIN_VALUE;
    private int dropped;

    RateLimitedPluginLog(String plugin) {
        this.plugin = plugin;
    }

    @Override
    public void accept(String text) {
        int droppedBefore;
        synchronized (this) {
            long nowS = System.nanoTime() / 1_000_000_000L;
            if (nowS == second) {
                dropped++;
                return;
            }
            second = nowS;
            droppedBefore = dropped;
            dropped = 0;
        }
        Log.event("plugin_log", "plugin", plugin, "text", text, "dropped", droppedBefore);
    }
}
