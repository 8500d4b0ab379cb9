package peppergauge.daemon;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import peppergauge.ScriptedServer;
import peppergauge.daemon.admin.AdminAddress;
import peppergauge.daemon.admin.AdminClient;

/**
 * Creates the class data sharing (CDS) archive of the daemon; the build runs it. Starts the packaged program as an
 * instance of the fleet service and as a daemon that reports to it, sends some requests, and archives all classes that
 * the two processes loaded, so that later processes start sooner.
 *
 * <p>There is one archive for both, since the launcher does not know which of them an operator file configures.
 * Subsystems that few daemons have are left out, since each page of the archive takes memory in every process.
 * Arguments: the archive, the jar.
 */
public final class DaemonArchive {

    /** No outgoing connection uses a port of this address, so a port that was found free stays free. */
    private static final String FLEET_HOST = "127.77.0.2";

    private static final String FLEET = """
            kind = "fleet"
            [service]
            site = "training"
            name = "fleet-1"
            number = 1
            listen = "%s:%d"
            folder = "%s/state"
            least-interval = "100 ms"
            table-every = "200 ms"
            gossip-every = "100 ms"
            keep-every = "200 ms"
            """;
    private static final String DAEMON = """
            kind = "daemon"
            [sidecar]
            config = "example/config.json"
            listen = "127.0.0.1:0"
            discovery = "%s"
            known = '{"version": 1, "full": true, "servers": [{"id": "s-1", "addr": "%s", "zone": "here", "cell": 0, \
            "state": "active", "started_ms": 0}]}'
            [admin]
            socket = "%s"
            [log]
            format = "json"
            [start]
            discovery-calls = 50
            [fleet]
            site = "training"
            addresses = ["%s:%d"]
            first-interval = "100 ms"
            """;
    private static final Pattern LISTENS = Pattern.compile(".*sidecar_started.*127\\.0\\.0\\.1:(\\d+) .*");

    private final Path folder;
    private final Path jar;
    private final Path root;

    private DaemonArchive(Path folder, Path jar) {
        this.folder = folder;
        this.jar = jar;
        root = jar.getParent().getParent().getParent();
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("archive");
        try {
            DaemonArchive training = new DaemonArchive(folder, Path.of(args[1]));
            training.dump(training.loadedClasses(), Path.of(args[0]));
        } finally {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(path -> path.toFile().delete());
            }
        }
    }

    /** Returns a file that lists the classes that both processes loaded, in the format of the Java virtual machine. */
    private Path loadedClasses() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(FLEET_HOST))) {
            port = free.getLocalPort();
        }
        Path socket = folder.resolve("a.sock");
        String loadReport = ScriptedServer.okResponse("inflight=1,queue=0,latency_ms=5");
        String emptyWatch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        try (ScriptedServer backend = ScriptedServer.respondingWith(loadReport);
                ScriptedServer discovery = ScriptedServer.respondingWith(emptyWatch)) {
            Process instance = start("fleet", FLEET.formatted(FLEET_HOST, port, folder));
            Process daemon =
                    start("daemon", DAEMON.formatted(discovery.address(), backend.address(), socket, FLEET_HOST, port));
            try {
                serveRequests(daemon);
                // The admin socket opens some time after the sidecar starts to serve.
                ScriptedServer.await("the admin socket", 60, () -> Files.exists(socket));
                AdminAddress admin = new AdminAddress(Optional.of(socket), 0);
                for (String command : List.of("status", "fleet", "reload")) {
                    AdminClient.send(admin, command);
                }
            } finally {
                // A process that is killed may leave a truncated list, and then the archive would lack classes.
                end(daemon);
                end(instance);
            }
        }
        Set<String> classes = new LinkedHashSet<>(Files.readAllLines(list("fleet")));
        classes.addAll(Files.readAllLines(list("daemon")));
        return Files.write(list("both"), classes);
    }

    private Path list(String name) {
        return folder.resolve(name + ".classes");
    }

    private static String java() {
        return System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
    }

    private Process start(String name, String text) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".toml"), text);
        return new ProcessBuilder(
                        java(),
                        "-XX:DumpLoadedClassList=" + list(name),
                        "-XX:+UseSerialGC",
                        "-Xmx128m",
                        "-jar",
                        jar.toString(),
                        "daemon",
                        "--config",
                        file.toString())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .start();
    }

    private static void end(Process process) throws IOException, InterruptedException {
        process.destroy();
        if (!process.waitFor(60, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new IOException("a training process did not end within 60 s");
        }
    }

    private static void serveRequests(Process daemon) throws IOException {
        BufferedReader log = daemon.inputReader();
        int port = 0;
        StringBuilder lines = new StringBuilder();
        for (String line = log.readLine(); line != null && port == 0; line = log.readLine()) {
            lines.append(line).append('\n');
            Matcher matcher = LISTENS.matcher(line);
            port = matcher.matches() ? Integer.parseInt(matcher.group(1)) : 0;
        }
        if (port == 0) {
            throw new IOException("the training daemon did not log sidecar_started:\n" + lines);
        }
        ScriptedServer.startDaemonThread(() -> log.lines().forEach(line -> {}));
        try (Socket client = new Socket("127.0.0.1", port)) {
            for (int i = 0; i < 50; i++) {
                send(client, "GET /episode-list/a HTTP/1.1", "g" + i, "");
                send(client, "POST /donation/a HTTP/1.1", "p" + i, "x");
            }
        }
    }

    private static void send(Socket client, String line, String id, String body) throws IOException {
        client.getOutputStream()
                .write((line + "\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Org: hanul-fm\r\n"
                                + "X-Remaining-Ms: 900\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
        ScriptedServer.readRequest(client.getInputStream());
    }

    private void dump(Path classes, Path archive) throws IOException, InterruptedException {
        Path unfinished = archive.resolveSibling(archive.getFileName() + ".new");
        // Objects can be archived with the G1 collector only, and loaded with any collector.
        Process dumping = new ProcessBuilder(
                        java(),
                        "-Xshare:dump",
                        "-XX:+UseG1GC",
                        "-Xmx128m",
                        "-XX:SharedClassListFile=" + classes,
                        "-XX:SharedArchiveFile=" + unfinished,
                        "-Xlog:cds*=error",
                        "-cp",
                        jar.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(dumping.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (dumping.waitFor() != 0) {
            throw new IOException("the archive of the daemon's classes could not be created:\n" + output);
        }
        Files.move(unfinished, archive, StandardCopyOption.REPLACE_EXISTING);
    }
}
