package peppergauge.lab.process;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** What Linux tells of processes under /proc. What has ended between two looks is passed over. */
public final class Proc {

    /** Of a process or one of its threads: its name, and user and system time. */
    public record Stat(String name, double cpuMs, double reapedChildrenMs) {}

    /** The unit of times under /proc: 100 a second on every Linux that runs Java. */
    private static final double TICK_MS = 10;

    private static final Path ROOT = Path.of("/proc");

    private Proc() {}

    /** Where a process's files are. */
    public static Path process(long pid) {
        return ROOT.resolve(Long.toString(pid));
    }

    /** The threads of a process. */
    static List<Path> threads(long pid) {
        List<Path> threads = new ArrayList<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process(pid).resolve("task"))) {
            tasks.forEach(threads::add);
        } catch (IOException | DirectoryIteratorException ended) {
            // It had none any more.
        }
        return threads;
    }

    /** The figures of a process or thread, or null. */
    public static Stat stat(Path of) {
        String line = read(of.resolve("stat"));
        return line.isEmpty() ? null : parse(line);
    }

    /** The name stands in parentheses and may hold spaces and parentheses itself. */
    public static Stat parse(String line) {
        int end = line.lastIndexOf(')');
        String[] fields = line.substring(end + 2).trim().split(" ");
        return new Stat(line.substring(line.indexOf('(') + 1, end), ms(fields, 11, 12), ms(fields, 13, 14));
    }

    private static double ms(String[] fields, int one, int other) {
        return TICK_MS * (Long.parseLong(fields[one]) + Long.parseLong(fields[other]));
    }

    /** The sum of the lines of a status file that begin with one of the names. */
    static long status(Path of, String... names) {
        return read(of.resolve("status"))
                .lines()
                .filter(line -> Arrays.stream(names).anyMatch(name -> line.startsWith(name + ":")))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
    }

    /** For how long a CPU has been at work, or was taken away by the host. */
    public static double busyMs(int cpu) {
        String line = read(ROOT.resolve("stat"))
                .lines()
                .filter(row -> row.startsWith("cpu" + cpu + " "))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("there is no CPU " + cpu));
        String[] fields = line.split(" +");
        long ticks = 0;
        for (int i = 1; i <= 8; i++) {
            // The fourth and fifth are idle time.
            ticks += i == 4 || i == 5 ? 0 : Long.parseLong(fields[i]);
        }
        return TICK_MS * ticks;
    }

    /** A whole file, or nothing if it is gone. */
    public static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException ended) {
            return "";
        }
    }
}
