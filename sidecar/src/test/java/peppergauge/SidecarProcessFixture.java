package peppergauge;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.spi.ToolProvider;
import java.util.stream.Stream;

/**
 * A sidecar in a separate process, which receives real signals and has its own descriptor limit, with a scripted
 * backend server and a scripted discovery server.
 */
final class SidecarProcessFixture implements Closeable {

    final ScriptedServer backend;
    final ScriptedServer discovery = discoveryServer();
    final Path config = Files.createTempFile("process", ".json");
    final Process sidecar;
    private final int port;

    /**
     * Starts a sidecar process.
     *
     * @param sockets the configured socket limit, which is also the process's descriptor limit
     * @param servers number of listed servers, all at the address of the scripted one
     */
    SidecarProcessFixture(ScriptedServer.Script script, int sockets, int servers) throws IOException {
        this(script, sockets, servers, "");
    }

    /** Starts a sidecar process; {@code shellPrefix}: shell commands to run first, ending with a semicolon. */
    SidecarProcessFixture(ScriptedServer.Script script, int sockets, int servers, String shellPrefix)
            throws IOException {
        this(script, sockets, servers, shellPrefix, sockets);
    }

    /** Starts a sidecar process; {@code descriptors}: its descriptor limit, which may be less than its settings say. */
    SidecarProcessFixture(ScriptedServer.Script script, int sockets, int servers, String shellPrefix, int descriptors)
            throws IOException {
        backend = new ScriptedServer(script);
        configure(discovery, sockets, servers);
        // Only the contents of the program's jar: each jar on the class path uses a descriptor.
        List<String> contents = Arrays.stream(
                        System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(part -> part.matches(".*(/classes|jackson-core[^/]*|httpcore5[^/]*)"))
                .map(part -> descriptors < sockets ? jarOf(part) : part)
                .toList();
        String classes = String.join(File.pathSeparator, contents);
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                shellPrefix + "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"",
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-XX:-UsePerfData",
                "-cp",
                classes,
                "peppergauge.Main",
                "serve");
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("GW_DISCOVERY", discovery.address());
        sidecar = builder.redirectErrorStream(true).start();
        BufferedReader lines = sidecar.inputReader();
        String line = lines.readLine();
        while (!line.contains(" sidecar_started ")) {
            line = lines.readLine();
        }
        port = Integer.parseInt(line.replaceAll(".* address=\\S+:(\\d+) .*", "$1"));
    }

    /** Returns a jar of a folder, from which classes can be loaded when no descriptor is left; a jar is returned. */
    private String jarOf(String path) {
        if (!Files.isDirectory(Path.of(path))) {
            return path;
        }
        try {
            Path jar = Files.createTempFile("program", ".jar");
            jar.toFile().deleteOnExit();
            ToolProvider.findFirst("jar")
                    .orElseThrow()
                    .run(System.out, System.err, "cf", jar.toString(), "-C", path, ".");
            return jar.toString();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** Starts a discovery server that accepts the watch and sends nothing. */
    static ScriptedServer discoveryServer() throws IOException {
        return ScriptedServer.respondingWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Writes the configuration file with this discovery server. */
    void configure(ScriptedServer discoveryServer, int sockets, int servers) throws IOException {
        String known = SidecarFixture.knownEndpoints(backend.address(), servers);
        Files.writeString(config, SidecarFixture.configJson(discoveryServer.address(), sockets, known));
    }

    /** Sends a signal; returns after SIGSTOP only when all threads have stopped. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(sidecar.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
        if (name.equals("STOP")) {
            // The threads stop one after another.
            ScriptedServer.await(this::stopped);
        }
    }

    private boolean stopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + sidecar.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                if (!Files.readString(thread.resolve("stat")).contains(") T ")) {
                    return false;
                }
            }
        }
        return true;
    }

    Socket client() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setSoTimeout(8_000);
        return client;
    }

    @Override
    public void close() throws IOException {
        sidecar.destroyForcibly();
        backend.close();
        discovery.close();
        Files.delete(config);
    }
}
