package peppergauge.lab.nomad;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import peppergauge.ScriptedServer;
import peppergauge.SidecarFixture;

/** Who tells the sidecar of its backend servers, whichever way: the same things happen over the platform and Nomad. */
interface Told extends Closeable {

    void add(BackendStandIn server) throws Exception;

    void drain(BackendStandIn server) throws Exception;

    void gone(BackendStandIn server) throws Exception;

    /** It cannot be asked any more, or can be again. */
    void away(boolean away) throws Exception;

    String address();

    /** Over the stand-in for Nomad. */
    class ByNomad implements Told {

        final Cluster cluster = new Cluster();
        final NomadStandIn api;

        ByNomad() throws IOException {
            api = new NomadStandIn(cluster, 200);
        }

        @Override
        public void add(BackendStandIn server) {
            cluster.node("n-" + server.id, "z0", Map.of());
            cluster.allocation(server.id, "n-" + server.id, "job");
            cluster.register(server.id, server.id, "episodes", "127.0.0.1", server.port, List.of());
        }

        @Override
        public void drain(BackendStandIn server) throws Exception {
            cluster.drain("n-" + server.id, 0);
        }

        @Override
        public void gone(BackendStandIn server) {
            cluster.deregisterAllOf(server.id);
        }

        @Override
        public void away(boolean away) throws Exception {
            api.fault(away ? Fault.REFUSE : Fault.NONE);
        }

        @Override
        public String address() {
            return api.address();
        }

        @Override
        public void close() throws IOException {
            api.close();
        }
    }

    /** Two agents of one cluster, the second after the first. */
    final class TwoAgents extends ByNomad {

        final NomadStandIn behind = new NomadStandIn(cluster, 200);

        TwoAgents() throws IOException {}

        @Override
        public String address() {
            return super.address() + "," + behind.address();
        }

        @Override
        public void close() throws IOException {
            super.close();
            behind.close();
        }
    }

    /** Over the platform's discovery: a chunked answer with a line for each change. */
    final class ByPlatform implements Told {

        private final Map<String, String> rows = new LinkedHashMap<>();
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private final int port;
        private ServerSocket listener;
        private int version = 1;

        ByPlatform() throws IOException {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            port = listener.getLocalPort();
            accept();
        }

        private void accept() {
            ServerSocket on = listener;
            ScriptedServer.startDaemonThread(() -> {
                while (true) {
                    Socket watch = on.accept();
                    ScriptedServer.startDaemonThread(() -> {
                        while (watch.getInputStream().read() != '\n') {
                            // The request line says nothing that matters here.
                        }
                        synchronized (this) {
                            watch.getOutputStream()
                                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            .getBytes(StandardCharsets.US_ASCII));
                            line(watch, SidecarFixture.endpointUpdate(version, true, rows.values()));
                            watches.add(watch);
                        }
                        while (true) {
                            Thread.sleep(1_000);
                            line(watch, "");
                        }
                    });
                }
            });
        }

        private static void line(Socket to, String text) throws IOException {
            String chunk = text + "\n";
            to.getOutputStream()
                    .write((Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        private synchronized void changed(BackendStandIn server, String state) throws IOException {
            version++;
            String row = SidecarFixture.endpointJson(server.id, server.address(), state);
            rows.put(server.id, row);
            if (state.equals("left")) {
                rows.remove(server.id);
            }
            for (Socket each : watches) {
                try {
                    line(each, SidecarFixture.endpointUpdate(version, false, List.of(row)));
                } catch (IOException closed) {
                    watches.remove(each);
                }
            }
        }

        @Override
        public void add(BackendStandIn server) throws Exception {
            changed(server, "active");
        }

        @Override
        public void drain(BackendStandIn server) throws Exception {
            changed(server, "leaving");
        }

        @Override
        public void gone(BackendStandIn server) throws Exception {
            changed(server, "left");
        }

        @Override
        public void away(boolean away) throws Exception {
            if (away) {
                close();
            } else {
                listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                accept();
            }
        }

        @Override
        public String address() {
            return "127.0.0.1:" + port;
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket each : watches) {
                each.close();
            }
            watches.clear();
        }
    }
}
