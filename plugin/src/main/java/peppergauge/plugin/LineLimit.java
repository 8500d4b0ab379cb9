package peppergauge.plugin;

import java.util.function.Consumer;
import peppergauge.log.Log;

/** A plug-in's lines: one a second, with the number of those passed over. From any thread. */
final class LineLimit implements Consumer<String> {

    private final String name;
    private long second = Long.MIN_VALUE;
    private int passedOver;

    LineLimit(String name) {
        this.name = name;
    }

    @Override
    public void accept(String text) {
        int before;
        synchronized (this) {
            long now = System.nanoTime() / 1_000_000_000L;
            if (now == second) {
                passedOver++;
                return;
            }
            second = now;
            before = passedOver;
            passedOver = 0;
        }
        Log.line("plug-in says", name + ": " + text + (before > 0 ? " (" + before + " lines passed over)" : ""));
    }
}
