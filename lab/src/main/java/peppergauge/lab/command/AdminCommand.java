package peppergauge.lab.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import peppergauge.daemon.admin.AdminAddress;
import peppergauge.daemon.admin.AdminClient;
import peppergauge.daemon.admin.JsonWriter;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.lab.admin.AdminResponseFormatter;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** Base of the commands that send one request to the admin socket of a running daemon. */
abstract class AdminCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @ArgGroup(multiplicity = "1")
    private AdminEndpoint endpoint;

    @Option(names = "--json", description = "Print the answer as it came.")
    private boolean json;

    /** The address of the admin socket; exactly one of the options is given. */
    static final class AdminEndpoint {

        @Option(names = "--config", paramLabel = "FILE", description = "The daemon's file, whose [admin] says where.")
        private Path config;

        @Option(names = "--socket", paramLabel = "PATH", description = "The Unix socket.")
        private Path socket;

        @Option(names = "--port", paramLabel = "N", description = "The port on 127.0.0.1.")
        private int port;

        private AdminAddress address() {
            return config == null
                    ? new AdminAddress(Optional.ofNullable(socket), port)
                    : AdminAddress.of(DaemonFile.read(config))
                            .orElseThrow(() -> new IllegalArgumentException(config + ": section [admin] is missing"));
        }
    }

    @Override
    public Integer call() {
        try {
            Map<String, Object> response = AdminClient.send(endpoint.address(), spec.name());
            if (json) {
                spec.commandLine().getOut().println(JsonWriter.write(response));
            } else if (Boolean.TRUE.equals(response.get("ok"))) {
                AdminResponseFormatter.format(response)
                        .forEach(spec.commandLine().getOut()::println);
            } else {
                spec.commandLine().getErr().println("peppergauge: " + response.get("error"));
            }
            return Boolean.TRUE.equals(response.get("ok")) ? ExitCode.OK : ExitCode.INVALID_INPUT;
        } catch (IllegalArgumentException invalid) {
            spec.commandLine().getErr().println("peppergauge: " + invalid.getMessage());
            return ExitCode.INVALID_INPUT;
        } catch (IOException failed) {
            spec.commandLine().getErr().println("peppergauge: the admin request failed: " + failed.getMessage());
            return ExitCode.FAILED;
        }
    }

    /** The {@code status} command. */
    @Command(name = "status", description = "Says how a running daemon does.")
    static final class Status extends AdminCommand {}

    /** The {@code plugins} command. */
    @Command(name = "plugins", description = "Says how the plug-ins of a running daemon do.")
    static final class Plugins extends AdminCommand {}

    /** The {@code bodies} command. */
    @Command(name = "bodies", description = "Says what long bodies are under way and kept in a running daemon.")
    static final class Bodies extends AdminCommand {}

    /** The {@code drain} command. */
    @Command(name = "drain", description = "Has a running daemon finish what is open and end.")
    static final class Drain extends AdminCommand {}

    /** The {@code reload} command. */
    @Command(name = "reload", description = "Has a running daemon read its whole file again: all of it, or nothing.")
    static final class Reload extends AdminCommand {}
}
