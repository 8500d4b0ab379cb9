package peppergauge.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the command that starts a sidecar from the deployment file of a checkout. */
public final class DeploymentFile {

    private static final Pattern RUN = Pattern.compile("^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"", Pattern.MULTILINE);

    private DeploymentFile() {}

    /**
     * Returns the {@code run} line of {@code deploy/balancer.toml}.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if the file has no such line
     */
    public static String run(Path checkout) throws IOException {
        Path file = checkout.resolve("deploy").resolve("balancer.toml");
        return run(file.toString(), Files.readString(file));
    }

    /** Returns the command with the invariants enabled (docs/INVARIANTS.md); the first violation ends the process. */
    public static String checked(String run) {
        return run.replaceFirst("\\bjava\\b", "java -ea:peppergauge...");
    }

    /**
     * Returns the {@code run} line of the text of a deployment file.
     *
     * @throws IllegalArgumentException if the text has no such line
     */
    public static String run(String toml) {
        return run("the deployment file", toml);
    }

    private static String run(String name, String toml) {
        Matcher line = RUN.matcher(toml);
        if (!line.find()) {
            throw new IllegalArgumentException(name + " has no line run = \"...\"");
        }
        return line.group(1).replaceAll("\\\\([\"\\\\])", "$1");
    }
}
