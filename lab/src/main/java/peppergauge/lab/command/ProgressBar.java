package peppergauge.lab.command;

import java.io.PrintWriter;
import java.util.Locale;

/** A progress bar that is redrawn at each percent; prints nothing without a terminal. */
final class ProgressBar {

    private static final int WIDTH_CHARS = 40;

    private final PrintWriter console;
    private final long total;
    private final boolean interactive = System.console() != null;
    private long done;
    private long drawnPercent = -1;

    ProgressBar(PrintWriter console, long total) {
        this.console = console;
        this.total = total;
    }

    void step(int failing) {
        long percent = 100 * ++done / total;
        if (interactive && percent != drawnPercent) {
            drawnPercent = percent;
            int full = (int) (WIDTH_CHARS * done / total);
            console.print(String.format(
                    Locale.ROOT,
                    "\r[%s%s] %d of %d, %d failing",
                    "#".repeat(full),
                    ".".repeat(WIDTH_CHARS - full),
                    done,
                    total,
                    failing));
            console.flush();
        }
    }

    void end() {
        if (interactive) {
            console.println();
        }
    }
}
