package peppergauge.lab.cost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import peppergauge.lab.process.Proc;

/** The machine's CPUs, and which of them are for the load. */
final class Machine {

    private Machine() {}

    /** Those that this process may use, as in {@code 0-3,6}. */
    static List<Integer> cpus() {
        String allowed = line("/proc/self/status", "Cpus_allowed_list");
        return List.of(allowed.split(",")).stream()
                .flatMapToInt(range -> {
                    String[] ends = range.split("-");
                    return IntStream.rangeClosed(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
                })
                .boxed()
                .collect(Collectors.toList());
    }

    /** Keeps all threads of this process off the sidecar's CPU. */
    static void leave(int cpu) throws IOException, InterruptedException {
        String others =
                cpus().stream().filter(one -> one != cpu).map(String::valueOf).collect(Collectors.joining(","));
        if (cpus().size() < 3) {
            System.err.println("under 3 CPUs: the load's two threads disturb each other or the sidecar");
        }
        if (others.isEmpty()) {
            return;
        }
        taskset("-a", "-p", "-c", others, Long.toString(ProcessHandle.current().pid()));
    }

    /** Puts one thread of this process on a CPU. */
    static void pin(String thread, int cpu) throws IOException, InterruptedException {
        taskset("-p", "-c", Integer.toString(cpu), thread);
    }

    private static void taskset(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("taskset"));
        command.addAll(List.of(arguments));
        if (new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor()
                != 0) {
            throw new IOException("refused: " + String.join(" ", command));
        }
    }

    static Map<String, Object> facts() {
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("cpus", cpus().size());
        facts.put("model", line("/proc/cpuinfo", "model name"));
        facts.put("kernel", System.getProperty("os.version"));
        facts.put("java", System.getProperty("java.vm.version"));
        facts.put("load", Proc.read(Path.of("/proc/loadavg")).split(" ")[0]);
        return facts;
    }

    private static String line(String file, String name) {
        return Proc.read(Path.of(file))
                .lines()
                .filter(line -> line.startsWith(name))
                .findFirst()
                .map(line -> line.substring(line.indexOf(':') + 1).trim())
                .orElse("unknown");
    }
}
