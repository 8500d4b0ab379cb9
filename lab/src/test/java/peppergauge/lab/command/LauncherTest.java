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

/** bin/peppergauge in a tree of its own, with a java that says what it was asked for. */
public class LauncherTest {

    private Path tree;

    @BeforeClass
    public void plant() throws Exception {
        tree = Files.createTempDirectory("launcher").toRealPath();
        for (String file : new String[] {
            "sidecar/target/peppergauge.jar", "lab/target/peppergauge-lab.jar", "daemon/target/peppergauge-daemon.jar"
        }) {
            Files.createDirectories(tree.resolve(file).getParent());
            Files.createFile(tree.resolve(file));
        }
        Files.createDirectories(tree.resolve("bin"));
        Files.copy(Path.of("../bin/peppergauge"), tree.resolve("bin/peppergauge"));
        Files.writeString(tree.resolve("java"), "#!/bin/sh\necho java \"$@\"\n")
                .toFile()
                .setExecutable(true);
        Files.createSymbolicLink(tree.resolve("link"), tree.resolve("bin/peppergauge"));
    }

    @AfterClass
    public void fell() throws Exception {
        try (var files = Files.walk(tree)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private String start(String directory, String command) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .redirectErrorStream(true)
                .directory(tree.resolve(directory).toFile());
        builder.environment().remove("JAVA_HOME");
        builder.environment().merge("PATH", tree + ":", (path, first) -> first + path);
        Process process = builder.start();
        String said = new String(process.getInputStream().readAllBytes()).trim();
        process.waitFor(5, TimeUnit.SECONDS);
        // The directory that the launcher was found by, as a place in the tree.
        return said.replace(tree + "/", "").replaceAll("(\\./|bin/)?\\.\\./|(?<=[ =])\\./", "");
    }

    private static String deployed(String name) throws Exception {
        return Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith(name + " = "))
                .findFirst()
                .orElseThrow()
                .replaceAll(".*\"exec (.*)\"", "$1");
    }

    @DataProvider
    public Object[][] waysToName() {
        return new Object[][] {
            {".", "bin/peppergauge"},
            {".", "./bin/peppergauge"},
            {"bin", "./peppergauge"},
            {"bin", "sh peppergauge"},
            {"sidecar", "../bin/peppergauge"},
            {"/", tree + "/bin/peppergauge"},
            {"/", tree + "/link"},
            {"sidecar", "../link"}
        };
    }

    @Test(dataProvider = "waysToName")
    public void serveAndAdapterStartAsDeployed(String directory, String launcher) throws Exception {
        assertEquals(start(directory, launcher + " serve"), deployed("run"));
        assertEquals(start(directory, launcher + " adapter"), deployed("sim"));
    }

    /** With an archive that is not there the Java machine would go without any. */
    @Test
    public void theDaemonIsItsOwnProcessWithAnArchiveWhereThereIsOne() throws Exception {
        Path archive = tree.resolve("daemon/target/peppergauge-daemon.jsa");
        for (String named : new String[] {"", " -XX:SharedArchiveFile=daemon/target/peppergauge-daemon.jsa"}) {
            String started = start(
                    "/", "PEPPERGAUGE_FLAGS='-Xshare:off -Da=b' " + tree + "/bin/peppergauge daemon --config f.toml");
            assertEquals(
                    started.replaceAll(" -X(?!X:Shared|share)\\S+", ""),
                    "java" + named + " -Xshare:auto -Xshare:off"
                            + " -Da=b -jar daemon/target/peppergauge-daemon.jar daemon --config f.toml");
            if (named.isEmpty()) {
                Files.createFile(archive);
            }
        }
        Files.delete(archive);
    }

    @Test
    public void allElseGoesToTheLab() throws Exception {
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
    public void whatIsNotBuiltIsNamed() throws Exception {
        Files.move(tree.resolve("lab/target"), tree.resolve("lab/gone"));
        try {
            assertEquals(
                    start(".", "bin/peppergauge check f; echo $?"),
                    "peppergauge: lab/target/peppergauge-lab.jar"
                            + " is missing; build it: mvn -q -DskipTests package\n1");
        } finally {
            Files.move(tree.resolve("lab/gone"), tree.resolve("lab/target"));
        }
    }
}
