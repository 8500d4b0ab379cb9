package peppergauge.lab.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import peppergauge.lab.play.DaemonLauncher;

/**
 * Commands that start the processes of a rig.
 *
 * @param workingDirectory the directory in which the commands are run
 * @param serveCommand a shell command for a sidecar as on the platform
 * @param daemons command and tables of sidecars that run as daemons; empty if they do not
 * @param knownServersAtStart whether a starting sidecar gets the current servers in its configuration; otherwise it
 *         gets none
 */
public record LaunchCommands(
        Path workingDirectory, String serveCommand, Optional<DaemonLauncher> daemons, boolean knownServersAtStart) {

    /** JVM options of stand-ins: little memory and a quick start. */
    private static final List<String> STAND_IN_JVM_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xms16m",
            "-Xmx48m",
            "-Xss256k",
            "-XX:-UsePerfData",
            "-XX:ReservedCodeCacheSize=16m");

    List<String> sidecarCommand() {
        return List.of("/bin/sh", "-c", daemons.map(DaemonLauncher::run).orElse(serveCommand));
    }

    /** Returns the command of a stand-in, with the class path of this process. */
    static List<String> standIn(String kind) {
        List<String> arguments = new ArrayList<>();
        arguments.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        arguments.addAll(STAND_IN_JVM_OPTIONS);
        arguments.addAll(List.of("-cp", System.getProperty("java.class.path"), ChildMain.class.getName(), kind));
        return arguments;
    }
}
