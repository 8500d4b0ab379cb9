package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import peppergauge.lab.callfault.CallFault;
import peppergauge.lab.callfault.Errno;
import peppergauge.lab.callfault.FaultTarget;
import peppergauge.lab.callfault.SystemCall;
import peppergauge.lab.flood.FloodRun;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.syscall.SystemCallOutcome;
import peppergauge.lab.syscall.SystemCallRun;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The {@code syscalls} command, which lets system calls of one real sidecar fail and prints one line for each seed. */
@Command(
        name = "syscalls",
        description = {
            "Lets one kind of system call of a real sidecar fail for a while, beside usual clients.",
            "The sidecar is started by the run line of deploy/balancer.toml; docs/RIG.md has what is judged."
        })
final class SystemCallsCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            converter = SeedRange.Converter.class,
            defaultValue = "1..15",
            description = "A run of some 7 s for each (preset: ${DEFAULT-VALUE}).")
    private SeedRange seeds;

    @Option(names = "--call", paramLabel = "CALL", description = "One of: ${COMPLETION-CANDIDATES}; else by seed.")
    private SystemCall call;

    @Option(names = "--error", paramLabel = "ERROR", description = "One of: ${COMPLETION-CANDIDATES}; else by seed.")
    private Errno error;

    @Option(names = "--target", paramLabel = "T", description = "One of: ${COMPLETION-CANDIDATES}; else by seed.")
    private FaultTarget target;

    @Option(names = "--one-in", paramLabel = "N", description = "One in N calls fails; else by seed.")
    private Integer oneIn;

    @Option(names = "--limit", paramLabel = "N", description = "At most N calls fail, 0 for any number; else by seed.")
    private Integer limit;

    @Option(
            names = "--fault-ms",
            paramLabel = "MS",
            defaultValue = "3000",
            description = "How long calls fail (preset: ${DEFAULT-VALUE}).")
    private long faultMs;

    @Option(
            names = "--sockets",
            paramLabel = "N",
            defaultValue = "1024",
            description = "Descriptors (preset: ${DEFAULT-VALUE}).")
    private int sockets;

    @Option(
            names = "--cpu",
            paramLabel = "N",
            defaultValue = "-1",
            description = "The only CPU of the sidecar; -1 for all (preset: ${DEFAULT-VALUE}).")
    private int cpu;

    @Option(names = "--checkout", paramLabel = "DIR", description = "Another built checkout whose sidecar is started.")
    private Path checkout;

    @Option(names = "--log", paramLabel = "FOLDER", description = "Writes the sidecar's log of each violating run.")
    private Path log;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path home = checkout == null ? ProjectHome.path() : checkout.toAbsolutePath();
        FloodRun.Launch launch = new FloodRun.Launch(DeploymentFile.run(home), home, cpu, sockets);
        int violating = 0;
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            try (SystemCallRun run = new SystemCallRun(fault(seed), launch)) {
                SystemCallOutcome outcome = run.run(faultMs);
                spec.commandLine().getOut().println(outcome);
                spec.commandLine().getOut().flush();
                if (!outcome.violations().isEmpty()) {
                    violating++;
                    writeLog(outcome);
                }
            }
        }
        spec.commandLine().getOut().println("runs with violations: " + violating);
        return violating == 0 ? ExitCode.OK : ExitCode.RULE_VIOLATED;
    }

    private CallFault fault(long seed) {
        CallFault drawn = CallFault.draw(seed);
        return new CallFault(
                call == null ? drawn.call() : call,
                error == null ? drawn.error() : error,
                target == null ? drawn.target() : target,
                oneIn == null ? drawn.oneIn() : oneIn,
                limit == null ? drawn.limit() : limit,
                seed);
    }

    private void writeLog(SystemCallOutcome outcome) throws IOException {
        if (log != null) {
            Files.writeString(
                    Files.createDirectories(log)
                            .resolve("seed-" + outcome.fault().seed() + ".log"),
                    outcome.log());
        }
    }
}
