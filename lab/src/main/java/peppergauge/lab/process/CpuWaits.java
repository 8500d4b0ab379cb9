package peppergauge.lab.process;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * For how long the system let a Java process wait for a CPU, though it had work: of its loop, and of the Java machine's
 * own thread, which collects garbage while the loop stands still. Linux tells it in nanoseconds, once the wait is over.
 */
public final class CpuWaits {

    private static final List<String> THREADS = List.of("loop", "VM Thread");

    private long pid;
    private Map<Path, Double> seenMs = Map.of();

    /** What was waited since the last look at this process, ms; nothing at the first look. */
    public double sinceLastMs(long of) {
        Map<Path, Double> nowMs = new HashMap<>();
        for (Path thread : Proc.threads(of)) {
            if (THREADS.contains(Proc.read(thread.resolve("comm")).strip())) {
                waitedMs(Proc.read(thread.resolve("schedstat"))).ifPresent(waited -> nowMs.put(thread, waited));
            }
        }
        Map<Path, Double> before = of == pid ? seenMs : nowMs;
        pid = of;
        seenMs = nowMs;
        return nowMs.entrySet().stream().mapToDouble(one -> one.getValue() - before.getOrDefault(one.getKey(), 0.0))
                .sum();
    }

    /** By a line of three numbers, of which the second counts ns; empty where a system does not tell. */
    static Optional<Double> waitedMs(String line) {
        String[] words = line.strip().split(" ");
        return words.length == 3 ? Optional.of(Long.parseLong(words[1]) / 1e6) : Optional.empty();
    }
}
