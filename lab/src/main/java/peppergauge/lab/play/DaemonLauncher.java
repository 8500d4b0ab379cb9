package peppergauge.lab.play;

import java.util.Optional;

/**
 * How those sidecars are started that need the daemon instead of the platform's sidecar.
 *
 * @param run a shell command run in the checkout; {@code {dir}} stands for the directory of {@link #FILE}
 * @param tables further tables of each daemon's operator file; if empty, only sidecars that need a daemon are daemons
 */
public record DaemonLauncher(String run, Optional<String> tables) {

    /** Name of the operator file that the command reads. */
    public static final String FILE = "daemon.toml";

    /** Starts daemons by the checkout's launcher {@code bin/peppergauge}. */
    public static DaemonLauncher launched(Optional<String> tables) {
        return new DaemonLauncher("exec bin/peppergauge daemon --config {dir}/" + FILE, tables);
    }
}
