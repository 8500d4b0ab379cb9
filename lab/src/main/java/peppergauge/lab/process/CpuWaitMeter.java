package peppergauge.lab.process;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.DoubleStream;

/**
 * For how long the system let a Java process wait for a CPU, though it had work: of its loop, and of the Java machine's
 * own thread, which collects garbage while the loop stands still. Linux tells it in nanoseconds, once the wait is over.
 */
public final class CpuWaitMeter {

    private static final List<String> THREADS = List.of("loop", "VM Thread");

    private long pid;
    private Map<Path, Double> seenMs = Map.of();

    /** What these two waited together since the last look at this process, ms; nothing at the first look. */
    public double sinceLastMs(long processId) {
        return waits(
                        processId,
                        thread -> THREADS.contains(
                                Proc.read(thread.resolve("comm")).strip()))
                .sum();
    }

    /** What the one of all its threads waited that waited most since the last look, ms; nothing at the first look. */
    public double longestSinceLastMs(long processId) {
        return waits(processId, thread -> true).max().orElse(0);
    }

    private DoubleStream waits(long processId, Predicate<Path> selected) {
        Map<Path, Double> nowMs = new HashMap<>();
        for (Path thread : Proc.threads(processId)) {
            if (selected.test(thread)) {
                waitedMs(Proc.read(thread.resolve("schedstat"))).ifPresent(waited -> nowMs.put(thread, waited));
            }
        }
        Map<Path, Double> before = processId == pid ? seenMs : nowMs;
        pid = processId;
        seenMs = nowMs;
        return nowMs.entrySet().stream().mapToDouble(one -> one.getValue() - before.getOrDefault(one.getKey(), 0.0));
    }

    /** By a line of three numbers, of which the second counts ns; empty where a system does not tell. */
    static Optional<Double> waitedMs(String line) {
        String[] words = line.strip().split(" ");
        return words.length == 3 ? Optional.of(Long.parseLong(words[1]) / 1e6) : Optional.empty();
    }
}
