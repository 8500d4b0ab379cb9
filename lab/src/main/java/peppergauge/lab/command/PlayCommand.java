package peppergauge.lab.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import peppergauge.lab.play.Daemons;
import peppergauge.lab.play.Play;
import peppergauge.lab.play.Play.Played;
import peppergauge.lab.process.Deploy;
import peppergauge.lab.process.SidecarProcess.Launch;
import peppergauge.lab.result.ResultJson;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerKind;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** {@code play FILE}: a scenario in real time. */
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
    private PlayedScenario given;

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
        Optional<Scenario> read = given.read();
        if (read.isEmpty()) {
            return ExitCode.UNUSABLE_INPUT;
        }
        PrintWriter console = spec.commandLine().getOut();
        Scenario scenario = seed == null ? read.get() : read.get().seeded(seed);
        Launch launch = launch();
        Play.leftOut(scenario).forEach(what -> console.println("not played: " + what));
        String name = given.name();
        console.println(String.format(
                Locale.ROOT,
                "%s: %.1f s, %d sidecars, %d backend servers",
                name,
                Scenario.ms(scenario.run().length()) / 1e3,
                scenario.sidecars().count(),
                scenario.servers().stream().mapToLong(ServerKind::count).sum()));
        Optional<String> tables = daemonFile == null ? Optional.empty() : Optional.of(Files.readString(daemonFile));
        try (Play play = new Play(scenario, launch, Daemons.launched(tables))) {
            // Sidecars have process groups of their own, which an interrupt from the terminal does not reach.
            Thread end = new Thread(() -> close(play), "end");
            Runtime.getRuntime().addShutdownHook(end);
            Played played = play.run(name);
            Runtime.getRuntime().removeShutdownHook(end);
            report(played);
            return played.result().broken().isEmpty() ? ExitCode.FINE : ExitCode.RULE_BROKEN;
        }
    }

    private static void close(Play play) {
        try {
            play.close();
        } catch (IOException failed) {
            System.err.println("play: " + failed.getMessage());
        }
    }

    private Launch launch() {
        if (!(cores > 0 && cores <= 1)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--cores must be over 0 and at most 1");
        }
        Path from = (checkout == null ? Home.path() : checkout).toAbsolutePath();
        try {
            return new Launch(from, Deploy.run(from), -1, cores);
        } catch (IllegalArgumentException | IOException unusable) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "no build to play in " + from + ": " + unusable.getMessage(), unusable);
        }
    }

    private void report(Played played) throws IOException {
        PrintWriter console = spec.commandLine().getOut();
        RunResult result = played.result();
        console.println(ResultLines.totals(result)
                + String.format(
                        Locale.ROOT,
                        "; %.0f us of the sidecars' CPU a try, load late by %.2f ms at 99%%",
                        played.cpuUs(),
                        played.lagMs()));
        ResultLines.classes(result, console);
        if (played.excused() > 0) {
            console.println(played.excused() + " answers were missing while the lab was late itself");
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
