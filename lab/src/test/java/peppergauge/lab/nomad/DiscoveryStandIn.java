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

/**
 * Stand-in for discovery, with the same operations for the platform's discovery and for Nomad. The one of package
 * standin is for the platform's discovery only.
 */
interface DiscoveryStandIn extends Closeable {

    /** Adds a ready server. */
    void add(BackendStandIn server) throws Exception;

    /** Reports a server as draining. */
    void drain(BackendStandIn server) throws Exception;

    /** Removes a server. */
    void remove(BackendStandIn server) throws Exception;

    /** Starts or ends an outage of discovery. */
    void setUnreachable(boolean unreachable) throws Exception;

    /** Returns host:port of discovery; several of them are separated by commas. */
    String address();

    /** Nomad's service API. */
    class Nomad implements DiscoveryStandIn {

        final Cluster cluster = new Cluster();
        final NomadStandIn api;

        Nomad() throws IOException {
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
        public void remove(BackendStandIn server) {
            cluster.deregisterAllOf(server.id);
        }

        @Override
        public void setUnreachable(boolean unreachable) throws Exception {
            api.fault(unreachable ? ApiFault.REFUSE : ApiFault.NONE);
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

    /** Nomad's service API with two agents of one cluster, of which the second is used when the first fails. */
    final class TwoNomadAgents extends Nomad {

        final NomadStandIn secondAgent = new NomadStandIn(cluster, 200);

        TwoNomadAgents() throws IOException {}

        @Override
        public String address() {
            return super.address() + "," + secondAgent.address();
        }

        @Override
        public void close() throws IOException {
            super.close();
            secondAgent.close();
        }
    }

    /** The platform's discovery: a chunked response with a line for each update. */
    final class Platform implements DiscoveryStandIn {

        private final Map<String, String> endpoints = new LinkedHashMap<>();
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private final int port;
        private ServerSocket listener;
        private int version = 1;

        Platform() throws IOException {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            port = listener.getLocalPort();
            accept();
        }

        private void accept() {
            ServerSocket acceptor = listener;
            ScriptedServer.startDaemonThread(() -> {
                while (true) {
                    Socket connection = acceptor.accept();
                    ScriptedServer.startDaemonThread(() -> {
                        while (connection.getInputStream().read() != '\n') {
                            // The request line is not needed.
                        }
                        synchronized (this) {
                            connection
                                    .getOutputStream()
                                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            .getBytes(StandardCharsets.US_ASCII));
                            writeLine(connection, SidecarFixture.endpointUpdate(version, true, endpoints.values()));
                            connections.add(connection);
                        }
                        while (true) {
                            Thread.sleep(1_000);
                            writeLine(connection, "");
                        }
                    });
                }
            });
        }

        private static void writeLine(Socket connection, String text) throws IOException {
            String chunk = text + "\n";
            connection
                    .getOutputStream()
                    .write((Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        private synchronized void publish(BackendStandIn server, String state) throws IOException {
            version++;
            String endpoint = SidecarFixture.endpointJson(server.id, server.address(), state);
            endpoints.put(server.id, endpoint);
            if (state.equals("left")) {
                endpoints.remove(server.id);
            }
            for (Socket each : connections) {
                try {
                    writeLine(each, SidecarFixture.endpointUpdate(version, false, List.of(endpoint)));
                } catch (IOException connectionClosed) {
                    connections.remove(each);
                }
            }
        }

        @Override
        public void add(BackendStandIn server) throws Exception {
            publish(server, "active");
        }

        @Override
        public void drain(BackendStandIn server) throws Exception {
            publish(server, "leaving");
        }

        @Override
        public void remove(BackendStandIn server) throws Exception {
            publish(server, "left");
        }

        @Override
        public void setUnreachable(boolean unreachable) throws Exception {
            if (unreachable) {
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
            for (Socket each : connections) {
                each.close();
            }
            connections.clear();
        }
    }
}
