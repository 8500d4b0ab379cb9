package peppergauge.lab.process;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads figures of processes under /proc. Processes and threads that ended meanwhile are skipped. */
public final class ProcFiles {

    /**
     * Name and times of a process or thread.
     *
     * @param cpuMs user and system time
     * @param reapedChildrenMs user and system time of children that have ended
     */
    public record Stat(String name, double cpuMs, double reapedChildrenMs) {}

    /** Unit of times under /proc, which is 100 ticks per second on every Linux that runs Java. */
    private static final double TICK_MS = 10;

    private static final Path ROOT = Path.of("/proc");

    private ProcFiles() {}

    /** Returns the directory of a process under /proc. */
    public static Path process(long pid) {
        return ROOT.resolve(Long.toString(pid));
    }

    /** Returns the directories of a process's threads under /proc. */
    static List<Path> threads(long pid) {
        List<Path> threads = new ArrayList<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process(pid).resolve("task"))) {
            tasks.forEach(threads::add);
        } catch (IOException | DirectoryIteratorException ended) {
            // The process has ended.
        }
        return threads;
    }

    /** Returns the figures of a process or thread, or null if it has ended. */
    public static Stat stat(Path of) {
        String line = read(of.resolve("stat"));
        return line.isEmpty() ? null : parse(line);
    }

    /**
     * Parses a line of {@code /proc/PID/stat}. The name is in parentheses and may itself contain spaces and
     * parentheses.
     */
    public static Stat parse(String line) {
        int end = line.lastIndexOf(')');
        String[] fields = line.substring(end + 2).trim().split(" ");
        return new Stat(line.substring(line.indexOf('(') + 1, end), ms(fields, 11, 12), ms(fields, 13, 14));
    }

    private static double ms(String[] fields, int one, int other) {
        return TICK_MS * (Long.parseLong(fields[one]) + Long.parseLong(fields[other]));
    }

    /** Returns the sum of the numbers on the lines of a status file that begin with one of the names. */
    static long status(Path of, String... names) {
        return read(of.resolve("status"))
                .lines()
                .filter(line -> Arrays.stream(names).anyMatch(name -> line.startsWith(name + ":")))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
    }

    /**
     * Returns how long a CPU has been busy, including time taken away by the hypervisor.
     *
     * @throws IllegalArgumentException if there is no such CPU
     */
    public static double busyMs(int cpu) {
        String line = read(ROOT.resolve("stat"))
                .lines()
                .filter(row -> row.startsWith("cpu" + cpu + " "))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("/proc/stat has no CPU " + cpu));
        String[] fields = line.split(" +");
        long ticks = 0;
        for (int i = 1; i <= 8; i++) {
            // Fields 4 and 5 are idle time.
            ticks += i == 4 || i == 5 ? 0 : Long.parseLong(fields[i]);
        }
        return TICK_MS * ticks;
    }

    /** Returns the content of a file, or an empty string if it cannot be read. */
    public static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException ended) {
            return "";
        }
    }
}
