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

/** What is asked of a running daemon, at its admin socket. */
abstract class Admin implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @ArgGroup(multiplicity = "1")
    private Where where;

    @Option(names = "--json", description = "Print the answer as it came.")
    private boolean json;

    /** One of them. */
    static final class Where {

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
                            .orElseThrow(() -> new IllegalArgumentException(config + ": has no [admin]"));
        }
    }

    @Override
    public Integer call() {
        try {
            Map<String, Object> answer = AdminClient.send(where.address(), spec.name());
            if (json) {
                spec.commandLine().getOut().println(JsonWriter.write(answer));
            } else if (Boolean.TRUE.equals(answer.get("ok"))) {
                AdminResponseFormatter.format(answer).forEach(spec.commandLine().getOut()::println);
            } else {
                spec.commandLine().getErr().println("peppergauge: " + answer.get("error"));
            }
            return Boolean.TRUE.equals(answer.get("ok")) ? ExitCode.FINE : ExitCode.UNUSABLE_INPUT;
        } catch (IllegalArgumentException unusable) {
            spec.commandLine().getErr().println("peppergauge: " + unusable.getMessage());
            return ExitCode.UNUSABLE_INPUT;
        } catch (IOException failed) {
            spec.commandLine().getErr().println("peppergauge: nobody answers there: " + failed.getMessage());
            return ExitCode.FAILED;
        }
    }

    /** {@code status}. */
    @Command(name = "status", description = "Says how a running daemon does.")
    static final class Status extends Admin {}

    /** {@code plugins}. */
    @Command(name = "plugins", description = "Says how the plug-ins of a running daemon do.")
    static final class Plugins extends Admin {}

    /** {@code bodies}. */
    @Command(name = "bodies", description = "Says what long bodies are under way and kept in a running daemon.")
    static final class Bodies extends Admin {}

    /** {@code drain}. */
    @Command(name = "drain", description = "Has a running daemon finish what is open and end.")
    static final class Drain extends Admin {}

    /** {@code reload}. */
    @Command(name = "reload", description = "Has a running daemon read its whole file again: all of it, or nothing.")
    static final class Reload extends Admin {}
}
