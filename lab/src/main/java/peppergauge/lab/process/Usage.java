package peppergauge.lab.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Resources that a process and its descendants have used so far.
 *
 * @param atNs time of the reading, by {@link System#nanoTime}
 * @param rssKb resident memory, KiB
 * @param threads usage of each thread by its path under /proc
 */
public record Usage(long atNs, double cpuMs, long rssKb, Map<String, ThreadUse> threads) {

    /** Usage of one thread. */
    public record ThreadUse(String name, double cpuMs, long switches) {}

    /** Resources used between two readings. */
    public record Spent(double wallMs, double cpuMs, long switches, Map<String, Double> cpuMsByThread) {}

    /** Reads the current usage. */
    public static Usage of(ProcessHandle root) {
        double cpuMs = cpuMs(root);
        long rssKb = 0;
        Map<String, ThreadUse> threads = new HashMap<>();
        for (long pid : tree(root)) {
            rssKb += ProcFiles.status(ProcFiles.process(pid), "VmRSS");
            for (Path thread : ProcFiles.threads(pid)) {
                ProcFiles.Stat stat = ProcFiles.stat(thread);
                if (stat != null) {
                    threads.put(
                            thread.toString(),
                            new ThreadUse(
                                    stat.name(),
                                    stat.cpuMs(),
                                    ProcFiles.status(thread, "voluntary_ctxt_switches", "nonvoluntary_ctxt_switches")));
                }
            }
        }
        return new Usage(System.nanoTime(), cpuMs, rssKb, threads);
    }

    /** Returns only the CPU time, including that of children that have ended. */
    public static double cpuMs(ProcessHandle root) {
        double sum = 0;
        for (long pid : tree(root)) {
            ProcFiles.Stat stat = ProcFiles.stat(ProcFiles.process(pid));
            sum += stat == null ? 0 : stat.cpuMs() + stat.reapedChildrenMs();
        }
        return sum;
    }

    private static List<Long> tree(ProcessHandle root) {
        List<Long> pids = new ArrayList<>(List.of(root.pid()));
        root.descendants().forEach(child -> pids.add(child.pid()));
        return pids;
    }

    /**
     * Returns the resources used since an earlier reading. Context switches of threads that ended in between are not
     * included, but their CPU time is.
     */
    public Spent since(Usage before) {
        long switches = 0;
        Map<String, Double> byThread = new HashMap<>();
        for (Map.Entry<String, ThreadUse> entry : threads.entrySet()) {
            ThreadUse now = entry.getValue();
            ThreadUse then = before.threads.getOrDefault(entry.getKey(), new ThreadUse(now.name, 0, 0));
            switches += now.switches - then.switches;
            byThread.merge(now.name, now.cpuMs - then.cpuMs, Double::sum);
        }
        return new Spent((atNs - before.atNs) / 1e6, cpuMs - before.cpuMs, switches, byThread);
    }
}
