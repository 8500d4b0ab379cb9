package peppergauge.lab.command;

import java.io.PrintWriter;
import java.util.Locale;

/** A bar on the error stream, drawn again at each percent; nothing where nobody watches. */
final class Progress {

    private static final int WIDTH = 40;

    private final PrintWriter console;
    private final long whole;
    private final boolean watched = System.console() != null;
    private long done;
    private long drawn = -1;

    Progress(PrintWriter console, long whole) {
        this.console = console;
        this.whole = whole;
    }

    void step(int failing) {
        long percent = 100 * ++done / whole;
        if (watched && percent != drawn) {
            drawn = percent;
            int full = (int) (WIDTH * done / whole);
            console.print(String.format(
                    Locale.ROOT,
                    "\r[%s%s] %d of %d, %d failing",
                    "#".repeat(full),
                    ".".repeat(WIDTH - full),
                    done,
                    whole,
                    failing));
            console.flush();
        }
    }

    void end() {
        if (watched) {
            console.println();
        }
    }
}
