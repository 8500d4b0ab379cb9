package peppergauge.lab.play;

import java.util.Optional;

/**
 * How sidecars are run that are more than the platform's.
 *
 * @param run a shell command from the checkout; {@code {dir}} is where {@link #FILE} is
 * @param tables what each one's file holds beside what it is told anyway; empty: only those are daemons that must be
 */
public record Daemons(String run, Optional<String> tables) {

    /** The operator file that the command is to read. */
    public static final String FILE = "daemon.toml";

    /** By the launcher of the checkout. */
    public static Daemons launched(Optional<String> tables) {
        return new Daemons("exec bin/peppergauge daemon --config {dir}/" + FILE, tables);
    }
}
