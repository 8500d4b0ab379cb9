package peppergauge;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Run by the build: starts the packaged program with scripted servers, sends some requests, and lets it write an
 * archive of its classes (CDS), which shortens the start of a sidecar after a crash. Arguments: the archive, the jar,
 * and the JVM options.
 */
public final class ArchiveTraining {

    private ArchiveTraining() {}

    public static void main(String[] args) throws Exception {
        Path config = Files.createTempFile("training", ".json");
        try (ScriptedServer backend =
                        ScriptedServer.respondingWith(ScriptedServer.okResponse("inflight=1,queue=0,latency_ms=5"));
                ScriptedServer discovery = ScriptedServer.respondingWith(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")) {
            Files.writeString(
                    config,
                    SidecarFixture.configJson(
                                    discovery.address(),
                                    256,
                                    SidecarFixture.endpointUpdate(backend.address(), 1, true, "active"))
                            .replace("\"mayProbe\":false", "\"mayProbe\":true")
                            .replace("\"balancers\":1", "\"balancers\":2"));
            List<String> command = new ArrayList<>(List.of(java()));
            command.add("-XX:ArchiveClassesAtExit=" + args[0]);
            command.addAll(List.of(args).subList(2, args.length));
            command.addAll(List.of("-jar", args[1], "serve"));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("GW_CONFIG", config.toString());
            builder.redirectErrorStream(true);
            Process sidecar = builder.start();
            sendRequests(sidecar);
            sidecar.destroy();
            sidecar.waitFor(20, TimeUnit.SECONDS);
        } finally {
            Files.deleteIfExists(config);
        }
    }

    private static String java() {
        return System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
    }

    /**
     * Returns the port from the sidecar's log. Other lines may precede the start line: if the build was started with
     * SIGHUP ignored, as by nohup, the log starts with a line about that.
     */
    static int port(BufferedReader log) throws IOException {
        Pattern startLine = Pattern.compile(".* sidecar_started .* address=\\S+:(\\d+) .*");
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            Matcher matcher = startLine.matcher(line);
            if (matcher.matches()) {
                return Integer.parseInt(matcher.group(1));
            }
        }
        throw new IOException("the sidecar ended without logging sidecar_started with its address");
    }

    private static void sendRequests(Process sidecar) throws Exception {
        int port = port(sidecar.inputReader());
        try (Socket client = new Socket("127.0.0.1", port)) {
            for (int i = 0; i < 50; i++) {
                SidecarFixture.exchange(client, SidecarFixture.get("g" + i, 900));
                SidecarFixture.exchange(client, SidecarFixture.post("p" + i, 900, "x"));
            }
        }
    }
}
