package peppergauge.daemon;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import peppergauge.ReloadSignal;

/** Polls files for changes where SIGHUP is not delivered. A change counts once it is the same in two polls. */
final class FileChangePoller {

    private static final long POLL_INTERVAL_MS = 500;

    private final Map<Path, String> stampsWhenRead = new HashMap<>();
    private Map<Path, String> stampsAtLastPoll = Map.of();

    /** Notes that all watched files are about to be read as they are now. */
    synchronized void markRead() {
        stampsWhenRead.replaceAll((file, before) -> ReloadSignal.stamp(file));
    }

    /** Sets the watched files. Files that were watched before keep the state in which they were last read. */
    synchronized void watch(List<Path> files) {
        stampsWhenRead.keySet().retainAll(files);
        files.forEach(file -> stampsWhenRead.computeIfAbsent(file, ReloadSignal::stamp));
    }

    /**
     * Polls once. Returns whether the files differ from what was last read and are as in the poll before, so that a
     * file that is still being written is not read.
     */
    synchronized boolean hasSettledChange() {
        Map<Path, String> previousStamps = stampsAtLastPoll;
        stampsAtLastPoll = new HashMap<>(stampsWhenRead);
        stampsAtLastPoll.replaceAll((file, stamp) -> ReloadSignal.stamp(file));
        return !stampsAtLastPoll.equals(stampsWhenRead) && stampsAtLastPoll.equals(previousStamps);
    }

    /** Starts to poll on a daemon thread; {@code reload} must call {@link #markRead}. */
    void start(Runnable reload) {
        Thread poller = new Thread(
                () -> {
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                            if (hasSettledChange()) {
                                ReloadSignal.run(reload);
                            }
                        }
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                },
                "files");
        poller.setDaemon(true);
        poller.start();
    }
}
