package peppergauge.lab.command;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import peppergauge.ReloadSignal;
import peppergauge.Sidecar;
import peppergauge.SidecarExtension;
import peppergauge.config.Config;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.operator.ReadResult;
import peppergauge.operator.Values;
import peppergauge.snapshot.SnapshotExtension;
import peppergauge.snapshot.SnapshotSection;
import peppergauge.snapshot.storage.PosixFileSystem;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;

/** The {@code serve-with} command, which runs a sidecar with the extensions of an operator file of kind sidecar. */
@Command(
        name = "serve-with",
        description = {
            "One real sidecar as by serve, with what FILE adds, until SIGTERM.",
            "FILE is an operator file of kind sidecar; GW_CONFIG and all else are as for serve."
        })
final class ServeWithCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A TOML file that begins with: kind = \"sidecar\"")
    private Path file;

    @Override
    public Integer call() throws Exception {
        ReadResult result = OperatorFileKinds.all().read(file);
        result.problems().forEach(spec.commandLine().getErr()::println);
        if (result.values().isEmpty() || !result.kind().orElseThrow().name().equals("sidecar")) {
            spec.commandLine().getErr().println("peppergauge: " + file + " is not a valid file of kind sidecar");
            return ExitCode.INVALID_INPUT;
        }
        Sidecar sidecar;
        try {
            sidecar = new Sidecar(
                    Config.read(System.getenv()), extensions(result.values().orElseThrow()));
        } catch (IllegalArgumentException invalid) {
            spec.commandLine().getErr().println("peppergauge: " + invalid.getMessage());
            return ExitCode.INVALID_INPUT;
        }
        sidecar.endProcessIfThreadFails();
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDownGracefully, "graceful-shutdown"));
        ReloadSignal.install(() -> sidecar.reload(System.getenv()));
        sidecar.start();
        // Waits until a signal ends the process.
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static SidecarExtension extensions(Values values) {
        Optional<Values> snapshot = values.find(SnapshotSection.TABLE);
        return snapshot.<SidecarExtension>map(
                        table -> new SnapshotExtension(SnapshotSection.settings(table), new PosixFileSystem()))
                .orElse(SidecarExtension.NONE);
    }
}
