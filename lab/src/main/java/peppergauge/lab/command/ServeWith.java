package peppergauge.lab.command;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import peppergauge.ReloadSignal;
import peppergauge.Sidecar;
import peppergauge.SidecarExtension;
import peppergauge.config.Config;
import peppergauge.lab.files.Kinds;
import peppergauge.operator.ReadResult;
import peppergauge.operator.Values;
import peppergauge.snapshot.SnapshotExtension;
import peppergauge.snapshot.SnapshotSection;
import peppergauge.snapshot.storage.PosixFileSystem;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;

/** {@code serve-with FILE}: a sidecar with what an operator file adds; the platform's has none of it. */
@Command(
        name = "serve-with",
        description = {
            "One real sidecar as by serve, with what FILE adds, until SIGTERM.",
            "FILE is an operator file of kind sidecar; GW_CONFIG and all else are as for serve."
        })
final class ServeWith implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A TOML file that begins with: kind = \"sidecar\"")
    private Path file;

    @Override
    public Integer call() throws Exception {
        ReadResult reading = Kinds.all().read(file);
        reading.problems().forEach(spec.commandLine().getErr()::println);
        if (reading.values().isEmpty() || !reading.kind().orElseThrow().name().equals("sidecar")) {
            spec.commandLine().getErr().println("peppergauge: " + file + " is no usable file of kind sidecar");
            return ExitCode.UNUSABLE_INPUT;
        }
        Sidecar sidecar;
        try {
            sidecar = new Sidecar(
                    Config.read(System.getenv()), additions(reading.values().orElseThrow()));
        } catch (IllegalArgumentException unusable) {
            spec.commandLine().getErr().println("peppergauge: " + unusable.getMessage());
            return ExitCode.UNUSABLE_INPUT;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDownGracefully, "graceful-shutdown"));
        ReloadSignal.install(() -> sidecar.reload(System.getenv()));
        sidecar.start();
        // Until the signal ends the process.
        new CountDownLatch(1).await();
        return ExitCode.FINE;
    }

    private static SidecarExtension additions(Values values) {
        Optional<Values> snapshot = values.find(SnapshotSection.TABLE);
        return snapshot.<SidecarExtension>map(
                        table -> new SnapshotExtension(SnapshotSection.settings(table), new PosixFileSystem()))
                .orElse(SidecarExtension.NONE);
    }
}
