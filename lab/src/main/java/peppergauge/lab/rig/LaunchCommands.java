package peppergauge.lab.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import peppergauge.lab.play.Daemons;

/**
 * How the processes of a rig are started.
 *
 * @param workplace where their commands are run
 * @param serve a shell command for a sidecar as the platform runs it
 * @param daemons how sidecars are run instead, if they are to be daemons
 * @param knowing whether a sidecar that starts knows the servers that are there; else it knows none until it is told
 */
public record LaunchCommands(Path workingDirectory, String serveCommand, Optional<Daemons> daemons,
        boolean knownServersAtStart) {

    /** Of a stand-in's Java machine: small, and quick to start. */
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
        return List.of("/bin/sh", "-c", daemons.map(Daemons::run).orElse(serveCommand));
    }

    /** A stand-in's, by the class path of this process. */
    static List<String> standIn(String kind) {
        List<String> arguments = new ArrayList<>();
        arguments.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        arguments.addAll(STAND_IN_JVM_OPTIONS);
        arguments.addAll(List.of("-cp", System.getProperty("java.class.path"), ChildMain.class.getName(), kind));
        return arguments;
    }
}
