package peppergauge.lab.soak;

import java.io.IOException;

/** Starts daemon threads for blocking sockets. */
public final class DaemonThreads {

    private DaemonThreads() {}

    /** A task that ends with an exception when its socket is closed. */
    public interface Blocking {

        void run() throws IOException, InterruptedException;
    }

    /** Starts a daemon thread; exceptions of closed sockets and interruptions end it. */
    public static Thread start(String name, Blocking task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException closed) {
                        // The run has ended, or the other side closed the connection.
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sleeps until a time by {@link System#nanoTime}. */
    static void sleepUntil(long atNs) throws InterruptedException {
        long remainingNs = atNs - System.nanoTime();
        if (remainingNs > 0) {
            Thread.sleep(remainingNs / 1_000_000, (int) (remainingNs % 1_000_000));
        }
    }
}
