package peppergauge.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the command that starts one sidecar from a checkout's deploy file. */
public final class Deploy {

    private static final Pattern RUN = Pattern.compile("^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"", Pattern.MULTILINE);

    private Deploy() {}

    /**
     * The {@code run} line of {@code deploy/balancer.toml}.
     *
     * @throws IOException if there is no such file
     * @throws IllegalArgumentException if it has no such line
     */
    public static String run(Path checkout) throws IOException {
        return run(Files.readString(checkout.resolve("deploy").resolve("balancer.toml")));
    }

    /** Such a command with the program's invariants on (docs/INVARIANTS.md): the first that breaks ends the process. */
    public static String checked(String run) {
        return run.replaceFirst("\\bjava\\b", "java -ea:peppergauge...");
    }

    /** The same from the text of such a file. */
    public static String run(String toml) {
        Matcher line = RUN.matcher(toml);
        if (!line.find()) {
            throw new IllegalArgumentException("the deploy file has no line run = \"...\"");
        }
        return line.group(1).replaceAll("\\\\([\"\\\\])", "$1");
    }
}
