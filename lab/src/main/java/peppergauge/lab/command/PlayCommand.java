package peppergauge.lab.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import peppergauge.lab.play.DaemonLauncher;
import peppergauge.lab.play.Play;
import peppergauge.lab.play.Play.PlayResult;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.result.ResultJson;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The {@code play} command, which runs a scenario in real time with sidecar processes. */
@Command(
        name = "play",
        description = {
            "Plays a scenario in real time, with real sidecars on loopback sockets.",
            "Backend servers, discovery and clients are stand-ins; docs/PLAY.md says what they do not show."
        })
final class PlayCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @CommandLine.Mixin
    private ScenarioOptions scenarioOptions;

    @Option(names = "--seed", paramLabel = "N", description = "In place of the scenario's own seed.")
    private Long seed;

    @Option(names = "--out", paramLabel = "DIR", description = "Write the result to DIR/NAME-SEED-play.json.")
    private Path out;

    @Option(
            names = "--cores",
            paramLabel = "Q",
            defaultValue = "1",
            description = "Share of a core's time that each sidecar may run, over 0 up to 1 (1: no limit).")
    private double cores;

    @Option(names = "--dir", paramLabel = "DIR", description = "Play the build of another checkout.")
    private Path checkout;

    @Option(
            names = "--daemon",
            paramLabel = "FILE",
            description = {
                "Run the sidecars as daemons, with what FILE holds",
                "beside [sidecar] and [admin]: [[plugin]], [snapshot] and the like."
            })
    private Path daemonFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Optional<Scenario> read = scenarioOptions.read();
        if (read.isEmpty()) {
            return ExitCode.INVALID_INPUT;
        }
        PrintWriter console = spec.commandLine().getOut();
        Scenario scenario = seed == null ? read.get() : read.get().withSeed(seed);
        Launch launch = launch();
        Play.leftOut(scenario).forEach(skipped -> console.println("not played: " + skipped));
        String name = scenarioOptions.name();
        console.println(String.format(
                Locale.ROOT,
                "%s: %.1f s, %d sidecars, %d backend servers",
                name,
                Scenario.toMillis(scenario.run().length()) / 1e3,
                scenario.sidecars().count(),
                scenario.servers().stream().mapToLong(ServerGroup::count).sum()));
        Optional<String> tables = daemonFile == null ? Optional.empty() : Optional.of(Files.readString(daemonFile));
        try (Play play = new Play(scenario, launch, DaemonLauncher.launched(tables))) {
            // Sidecars have their own process groups, which an interrupt from the terminal does not reach.
            Thread shutdownHook = new Thread(() -> close(play), "play-shutdown");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            PlayResult played = play.run(name);
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            report(played);
            return played.result().broken().isEmpty() ? ExitCode.OK : ExitCode.RULE_VIOLATED;
        }
    }

    private static void close(Play play) {
        try {
            play.close();
        } catch (IOException failed) {
            System.err.println("play: cannot stop the sidecars: " + failed.getMessage());
        }
    }

    private Launch launch() {
        if (!(cores > 0 && cores <= 1)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--cores must be over 0 and at most 1, but is " + cores);
        }
        Path playedCheckout = (checkout == null ? ProjectHome.path() : checkout).toAbsolutePath();
        try {
            return new Launch(playedCheckout, DeploymentFile.run(playedCheckout), -1, cores);
        } catch (IllegalArgumentException | IOException invalid) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "no usable build in " + playedCheckout + ": " + invalid.getMessage(), invalid);
        }
    }

    private void report(PlayResult played) throws IOException {
        PrintWriter console = spec.commandLine().getOut();
        RunResult result = played.result();
        console.println(ResultLines.totals(result)
                + String.format(
                        Locale.ROOT,
                        "; sidecar CPU %.0f us per try, load generator lag p99 %.2f ms",
                        played.cpuUs(),
                        played.lagMs()));
        ResultLines.classes(result, console);
        if (played.excusedMissingResponses() > 0) {
            console.println(played.excusedMissingResponses()
                    + " missing responses are not counted, since the lab itself was late");
        }
        if (out != null) {
            ResultJson.write(result, out.resolve(result.scenario() + '-' + result.seed() + "-play.json"));
        }
        result.broken()
                .forEach(broken -> spec.commandLine()
                        .getErr()
                        .println(String.format(
                                Locale.ROOT,
                                "rule %s broken, at %.3f s: %s",
                                broken.rule(),
                                broken.atS(),
                                broken.about())));
    }
}
