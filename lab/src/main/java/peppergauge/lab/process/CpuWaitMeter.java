package peppergauge.lab.process;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.DoubleStream;

/**
 * Measures how long threads of a Java process were runnable without getting a CPU. It reads the times of the event loop
 * and of the JVM's own thread, which collects garbage while the event loop is paused. Linux reports a wait in
 * nanoseconds once it is over.
 */
public final class CpuWaitMeter {

    private static final List<String> THREADS = List.of("loop", "VM Thread");

    private long pid;
    private Map<Path, Double> seenMs = Map.of();

    /**
     * Returns how long the event loop and the JVM's thread waited together since the last call for this process, in ms;
     * 0 at the first call.
     */
    public double sinceLastMs(long processId) {
        return waits(
                        processId,
                        thread -> THREADS.contains(
                                ProcFiles.read(thread.resolve("comm")).strip()))
                .sum();
    }

    /** Returns how long the thread that waited longest has waited since the last call, in ms; 0 at the first call. */
    public double longestSinceLastMs(long processId) {
        return waits(processId, thread -> true).max().orElse(0);
    }

    private DoubleStream waits(long processId, Predicate<Path> selected) {
        Map<Path, Double> nowMs = new HashMap<>();
        for (Path thread : ProcFiles.threads(processId)) {
            if (selected.test(thread)) {
                waitedMs(ProcFiles.read(thread.resolve("schedstat"))).ifPresent(waited -> nowMs.put(thread, waited));
            }
        }
        Map<Path, Double> before = processId == pid ? seenMs : nowMs;
        pid = processId;
        seenMs = nowMs;
        return nowMs.entrySet().stream().mapToDouble(one -> one.getValue() - before.getOrDefault(one.getKey(), 0.0));
    }

    /** Parses the second of three numbers, in ns, to ms; empty where the system does not report waits. */
    static Optional<Double> waitedMs(String line) {
        String[] words = line.strip().split(" ");
        return words.length == 3 ? Optional.of(Long.parseLong(words[1]) / 1e6) : Optional.empty();
    }
}
