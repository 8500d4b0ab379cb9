package peppergauge.lab.command;

import java.nio.file.Path;

/** The project's root directory: the system property that the launcher sets, or else the current directory. */
final class ProjectHome {

    private static final String PROPERTY = "peppergauge.home";

    private ProjectHome() {}

    static Path path() {
        return Path.of(System.getProperty(PROPERTY, ".")).toAbsolutePath().normalize();
    }
}
