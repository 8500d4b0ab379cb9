package peppergauge.lab.command;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs bin/peppergauge in a temporary checkout with a fake java command that prints its arguments. */
public class LauncherTest {

    private Path checkout;

    @BeforeClass
    public void createCheckout() throws Exception {
        checkout = Files.createTempDirectory("launcher").toRealPath();
        for (String file : new String[] {
            "sidecar/target/peppergauge.jar", "lab/target/peppergauge-lab.jar", "daemon/target/peppergauge-daemon.jar"
        }) {
            Files.createDirectories(checkout.resolve(file).getParent());
            Files.createFile(checkout.resolve(file));
        }
        Files.createDirectories(checkout.resolve("bin"));
        Files.copy(Path.of("../bin/peppergauge"), checkout.resolve("bin/peppergauge"));
        Files.writeString(checkout.resolve("java"), "#!/bin/sh\necho java \"$@\"\n")
                .toFile()
                .setExecutable(true);
        Files.createSymbolicLink(checkout.resolve("link"), checkout.resolve("bin/peppergauge"));
    }

    @AfterClass
    public void deleteCheckout() throws Exception {
        try (var files = Files.walk(checkout)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private String start(String directory, String command) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .redirectErrorStream(true)
                .directory(checkout.resolve(directory).toFile());
        builder.environment().remove("JAVA_HOME");
        builder.environment().merge("PATH", checkout + ":", (path, first) -> first + path);
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes()).trim();
        process.waitFor(5, TimeUnit.SECONDS);
        // Makes the paths in the output relative to the temporary checkout.
        return output.replace(checkout + "/", "").replaceAll("(\\./|bin/)?\\.\\./|(?<=[ =])\\./", "");
    }

    private static String deployedCommand(String name) throws Exception {
        return Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith(name + " = "))
                .findFirst()
                .orElseThrow()
                .replaceAll(".*\"exec (.*)\"", "$1");
    }

    @DataProvider
    public Object[][] launcherPaths() {
        return new Object[][] {
            {".", "bin/peppergauge"},
            {".", "./bin/peppergauge"},
            {"bin", "./peppergauge"},
            {"bin", "sh peppergauge"},
            {"sidecar", "../bin/peppergauge"},
            {"/", checkout + "/bin/peppergauge"},
            {"/", checkout + "/link"},
            {"sidecar", "../link"}
        };
    }

    @Test(dataProvider = "launcherPaths")
    public void serveAndAdapterStartLikeDeployedCommands(String directory, String launcher) throws Exception {
        assertEquals(start(directory, launcher + " serve"), deployedCommand("run"));
        assertEquals(start(directory, launcher + " adapter"), deployedCommand("sim"));
    }

    /** With a missing archive on its command line, the JVM would start without any archive, even the default one. */
    @Test
    public void daemonStartsFromItsJarWithArchiveIfItExists() throws Exception {
        Path archive = checkout.resolve("daemon/target/peppergauge-daemon.jsa");
        for (String archiveFlag : new String[] {"", " -XX:SharedArchiveFile=daemon/target/peppergauge-daemon.jsa"}) {
            String started = start(
                    "/",
                    "PEPPERGAUGE_FLAGS='-Xshare:off -Da=b' " + checkout + "/bin/peppergauge daemon --config f.toml");
            assertEquals(
                    started.replaceAll(" -X(?!X:Shared|share)\\S+", ""),
                    "java" + archiveFlag + " -Xshare:auto -Xshare:off"
                            + " -Da=b -jar daemon/target/peppergauge-daemon.jar daemon --config f.toml");
            if (archiveFlag.isEmpty()) {
                Files.createFile(archive);
            }
        }
        Files.delete(archive);
    }

    @Test
    public void otherCommandsStartLab() throws Exception {
        for (String line : List.of("check f", "serve --help", "adapter -V", "daemon --help", "--version", "")) {
            assertEquals(
                    start(".", "bin/peppergauge " + line),
                    ("java -ea:peppergauge... -Dpeppergauge.home=. -jar lab/target/peppergauge-lab.jar " + line)
                            .trim());
        }
        assertEquals(
                start(".", "bin/peppergauge cost 220"),
                "java -Dpeppergauge.home=. -XX:+UseSerialGC -Xms256m"
                        + " -Xmx256m -Xmn192m -jar lab/target/peppergauge-lab.jar cost 220");
    }

    @Test
    public void reportsMissingJar() throws Exception {
        Files.move(checkout.resolve("lab/target"), checkout.resolve("lab/gone"));
        try {
            assertEquals(
                    start(".", "bin/peppergauge check f; echo $?"),
                    "peppergauge: lab/target/peppergauge-lab.jar"
                            + " is missing; build it: mvn -q -DskipTests package\n1");
        } finally {
            Files.move(checkout.resolve("lab/gone"), checkout.resolve("lab/target"));
        }
    }
}
