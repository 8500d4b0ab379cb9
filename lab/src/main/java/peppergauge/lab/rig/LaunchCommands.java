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
public record LaunchCommands(Path workplace, String serve, Optional<Daemons> daemons, boolean knowing) {

    /** Of a stand-in's Java machine: small, and quick to start. */
    private static final List<String> SMALL = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xms16m",
            "-Xmx48m",
            "-Xss256k",
            "-XX:-UsePerfData",
            "-XX:ReservedCodeCacheSize=16m");

    List<String> sidecar() {
        return List.of("/bin/sh", "-c", daemons.map(Daemons::run).orElse(serve));
    }

    /** A stand-in's, by the class path of this process. */
    static List<String> child(String what) {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(SMALL);
        words.addAll(List.of("-cp", System.getProperty("java.class.path"), ChildMain.class.getName(), what));
        return words;
    }
}
