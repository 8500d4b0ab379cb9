package peppergauge.lab.command;

import java.nio.file.Path;

/** Where the project stands, as the launcher says; the current directory without it. */
final class Home {

    private static final String PROPERTY = "peppergauge.home";

    private Home() {}

    static Path path() {
        return Path.of(System.getProperty(PROPERTY, ".")).toAbsolutePath().normalize();
    }
}
