package peppergauge.daemon;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import peppergauge.ReloadSignal;

/** Polls files for changes where SIGHUP is not delivered. A change takes effect when two polls in a row find it. */
final class FileChangePoller {

    private static final long POLL_INTERVAL_MS = 500;

    private final Map<Path, String> stampsWhenRead = new HashMap<>();
    private Map<Path, String> stampsAtLastPoll = Map.of();

    /** Records the present state of all watched files, which the caller is about to read. */
    synchronized void markRead() {
        stampsWhenRead.replaceAll((file, stamp) -> ReloadSignal.fileStamp(file));
    }

    /** Sets the watched files. Files that were already watched keep the state in which they were last read. */
    synchronized void watch(List<Path> files) {
        stampsWhenRead.keySet().retainAll(files);
        files.forEach(file -> stampsWhenRead.computeIfAbsent(file, ReloadSignal::fileStamp));
    }

    /**
     * Polls once. Returns whether the files differ from what was last read and are the same as in the previous poll, so
     * that a file that is still being written is not read.
     */
    synchronized boolean hasSettledChange() {
        Map<Path, String> previousStamps = stampsAtLastPoll;
        stampsAtLastPoll = new HashMap<>(stampsWhenRead);
        stampsAtLastPoll.replaceAll((file, stamp) -> ReloadSignal.fileStamp(file));
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
                                ReloadSignal.runLogged(reload);
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
