package peppergauge.daemon;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import peppergauge.ReloadSignal;

/** Where SIGHUP cannot come: whether a daemon's files are others than those that it read last. */
final class FileLooks {

    private static final long LOOK_MS = 500;

    private final Map<Path, String> read = new HashMap<>();
    private Map<Path, String> seen = Map.of();

    /** All are about to be read again: as they are now they are no news. */
    synchronized void reading() {
        read.replaceAll((file, before) -> ReloadSignal.stamp(file));
    }

    /** What is to be looked at from now on; of those that were before it matters how they were when they were read. */
    synchronized void lookAt(List<Path> files) {
        read.keySet().retainAll(files);
        files.forEach(file -> read.computeIfAbsent(file, ReloadSignal::stamp));
    }

    /**
     * Another state, and the one of the look before: of a file that is still being written the first half may be a
     * usable file, without the plug-ins that stand in the second.
     */
    synchronized boolean changed() {
        Map<Path, String> before = seen;
        seen = new HashMap<>(read);
        seen.replaceAll((file, known) -> ReloadSignal.stamp(file));
        return !seen.equals(read) && seen.equals(before);
    }

    /** Looks from now on, and reloads, which has to tell {@link #reading}. */
    void start(Runnable reload) {
        Thread looking = new Thread(
                () -> {
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                            if (changed()) {
                                ReloadSignal.run(reload);
                            }
                        }
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                },
                "files");
        looking.setDaemon(true);
        looking.start();
    }
}
