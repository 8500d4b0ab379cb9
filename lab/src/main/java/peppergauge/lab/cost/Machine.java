package peppergauge.lab.cost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import peppergauge.lab.process.ProcFiles;

/** Describes the machine and sets the CPU affinity of this process and its threads. */
final class Machine {

    private Machine() {}

    /** The CPUs that this process may use, parsed from a list such as {@code 0-3,6}. */
    static List<Integer> cpus() {
        String allowed = field("/proc/self/status", "Cpus_allowed_list");
        return List.of(allowed.split(",")).stream()
                .flatMapToInt(range -> {
                    String[] ends = range.split("-");
                    return IntStream.rangeClosed(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
                })
                .boxed()
                .collect(Collectors.toList());
    }

    /** Keeps all threads of this process off the given CPU, which is the sidecar's. */
    static void excludeCpu(int cpu) throws IOException, InterruptedException {
        String others = cpus().stream()
                .filter(allowed -> allowed != cpu)
                .map(String::valueOf)
                .collect(Collectors.joining(","));
        if (cpus().size() < 3) {
            System.err.println(
                    "cost: fewer than 3 CPUs; the two load generator threads compete with each other or the sidecar");
        }
        if (others.isEmpty()) {
            return;
        }
        taskset("-a", "-p", "-c", others, Long.toString(ProcessHandle.current().pid()));
    }

    /** Pins one thread of this process to a CPU. */
    static void pinThread(String thread, int cpu) throws IOException, InterruptedException {
        taskset("-p", "-c", Integer.toString(cpu), thread);
    }

    private static void taskset(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("taskset"));
        command.addAll(List.of(arguments));
        int exitCode = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        if (exitCode != 0) {
            throw new IOException("command failed with exit code " + exitCode + ": " + String.join(" ", command));
        }
    }

    static Map<String, Object> facts() {
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("cpus", cpus().size());
        facts.put("model", field("/proc/cpuinfo", "model name"));
        facts.put("kernel", System.getProperty("os.version"));
        facts.put("java", System.getProperty("java.vm.version"));
        facts.put("load", ProcFiles.read(Path.of("/proc/loadavg")).split(" ")[0]);
        return facts;
    }

    private static String field(String file, String name) {
        return ProcFiles.read(Path.of(file))
                .lines()
                .filter(line -> line.startsWith(name))
                .findFirst()
                .map(line -> line.substring(line.indexOf(':') + 1).trim())
                .orElse("unknown");
    }
}
